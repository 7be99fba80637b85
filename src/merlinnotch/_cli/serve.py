"""Execution of the ``merlinnotch serve`` command."""

import signal

import eventlet

from .._daemon import EntryInstance
from .._daemon.logs import set_up_logs
from .._errors import InvalidSettings
from .._settings import load_settings
from .exit_codes import ExitCode


def serve(path, print_error):
    """Run an entry instance until a signal arrives; return an :class:`ExitCode`.

    *path* is the settings file; *print_error* is called with each of its problems. The
    first SIGTERM or SIGINT starts a graceful shutdown, a second one exits at once.
    """
    try:
        settings = load_settings(path)
    except InvalidSettings as error:
        for problem in error.problems:
            print_error(problem)
        return ExitCode.BAD_FILE
    set_up_logs(settings.instance, settings.zone)
    instance = EntryInstance(settings)
    shutdown_requested = eventlet.event.Event()
    _install_signal_handlers(shutdown_requested)
    instance.start()
    shutdown_requested.wait()
    finished = instance.shut_down()
    return ExitCode.OK if finished else ExitCode.FAILED


def _install_signal_handlers(shutdown_requested):
    def request_shutdown(signal_number, frame):
        if shutdown_requested.ready():
            raise SystemExit(ExitCode.FAILED)
        eventlet.hubs.get_hub().schedule_call_global(0, shutdown_requested.send, True)

    signal.signal(signal.SIGTERM, request_shutdown)
    signal.signal(signal.SIGINT, request_shutdown)
