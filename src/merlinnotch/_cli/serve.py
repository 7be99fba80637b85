"""``merlinnotch serve``."""

import signal

import eventlet

from .._daemon import EntryInstance
from .._daemon.logs import set_up_logs
from .._errors import BadSettings
from .._settings import load_settings
from .exits import ExitCode


def serve(path, complain):
    """Run an entry instance until a signal; return an :class:`ExitCode`.

    The first SIGTERM or SIGINT shuts down gracefully, a second one at once.
    """
    try:
        settings = load_settings(path)
    except BadSettings as error:
        for fault in error.faults:
            complain(fault)
        return ExitCode.BAD_FILE
    set_up_logs(settings.instance, settings.zone)
    instance = EntryInstance(settings)
    asked = eventlet.event.Event()
    _listen_for_signals(asked)
    instance.start()
    asked.wait()
    finished = instance.shut_down()
    return ExitCode.OK if finished else ExitCode.FAILED


def _listen_for_signals(asked):
    def ask(number, frame):
        if asked.ready():
            raise SystemExit(ExitCode.FAILED)
        eventlet.hubs.get_hub().schedule_call_global(0, asked.send, True)

    signal.signal(signal.SIGTERM, ask)
    signal.signal(signal.SIGINT, ask)
