"""Periodic background tasks."""

import abc
import logging

import eventlet

from .._errors import MerlinnotchError

logger = logging.getLogger("merlinnotch")


class Task(abc.ABC):
    """Calls :meth:`run_once` repeatedly in a green thread until stopped.

    There is a pause of *interval_s* seconds between runs. An error ends one run, not
    the task. The first failure after a success and the first success after a failure
    are logged, unexpected errors always.
    """

    interval_s = 1.0

    def __init__(self):
        self._thread = None
        self._is_failing = False

    @property
    def name(self):
        """The task's name in logs."""
        return type(self).__name__

    def start(self):
        """Start the green thread."""
        self._thread = eventlet.spawn(self._run_periodically)

    def stop(self):
        """Stop the green thread, if it was started."""
        if self._thread is not None:
            self._thread.kill()

    @abc.abstractmethod
    def run_once(self):
        """Do the work of one run."""

    def _run_periodically(self):
        while True:
            self._run_once_safely()
            eventlet.sleep(self.interval_s)

    def _run_once_safely(self):
        try:
            self.run_once()
        except MerlinnotchError as error:
            self._record_result(True, str(error))
        except Exception:
            logger.exception("unexpected error in task", extra={"task": self.name})
            self._is_failing = True
        else:
            self._record_result(False, "")

    def _record_result(self, is_failing, reason):
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            message = "task failing" if is_failing else "task recovered"
            logger.info(message, extra={"task": self.name, "reason": reason})
