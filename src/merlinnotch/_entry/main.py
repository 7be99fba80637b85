"""Entry point of the process: ``python -m merlinnotch._entry.main``."""

import logging
import os
import signal
import sys
import warnings

if __name__ == "__main__":
    # The settings file is polled anyway. SIGHUP's default action would end a process
    # that is still importing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# All addresses are IP addresses; eventlet's resolver would only use memory.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"
# Eventlet warns of its own deprecation; docs/design/libraries.md explains its use.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

from .early_listener import open_early_listener  # noqa: E402

SETTINGS_VARIABLE = "MERLINNOTCH_CONFIG"
EARLY_LISTENER = None
if __name__ == "__main__":
    EARLY_LISTENER = open_early_listener(os.environ.get(SETTINGS_VARIABLE, ""))

import eventlet  # noqa: E402
import eventlet.hubs  # noqa: E402

from .._errors import InvalidSettings  # noqa: E402
from .logs import set_up_logs  # noqa: E402
from .process import EntryProcess  # noqa: E402
from .settings import load_entry_settings  # noqa: E402

logger = logging.getLogger("merlinnotch")

SETTINGS_POLL_INTERVAL_S = 1.0
"""The settings file is polled, as it may change without a signal."""
EXIT_BAD_SETTINGS = 78


def main():
    """Run until SIGTERM or SIGINT; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_entry_settings(path)
    except InvalidSettings as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    set_up_logs(settings)
    process = EntryProcess(settings, caller_socket=EARLY_LISTENER)
    stop_requested = eventlet.event.Event()
    hub = eventlet.hubs.get_hub()

    def request_stop(number, frame):
        if not stop_requested.ready():
            hub.schedule_call_global(0, stop_requested.send, True)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    process.start()
    eventlet.spawn(_watch_settings, path, process)
    stop_requested.wait()
    process.shut_down()
    return 0


def _watch_settings(path, process):
    while True:
        eventlet.sleep(SETTINGS_POLL_INTERVAL_S)
        try:
            process.reload(load_entry_settings(path))
        except InvalidSettings as error:
            logger.error("settings rejected", extra={"fault": str(error)})


if __name__ == "__main__":
    sys.exit(main())
