"""Tasks: green threads that repeat one step."""

import abc
import logging

import eventlet

from .._errors import MerlinnotchError

logger = logging.getLogger("merlinnotch")


class Task(abc.ABC):
    """Repeats :meth:`run_once` every *interval_s* seconds until stopped.

    Errors raised on purpose end one step, not the task; a change between
    working and failing is logged.
    """

    interval_s = 1.0

    def __init__(self):
        self._thread = None
        self._failing = False

    @property
    def name(self):
        """The name shown in logs."""
        return type(self).__name__

    def start(self):
        """Start the green thread."""
        self._thread = eventlet.spawn(self._run)

    def stop(self):
        """End the green thread."""
        if self._thread is not None:
            self._thread.kill()

    @abc.abstractmethod
    def run_once(self):
        """Do one step."""

    def _run(self):
        while True:
            self._run_step()
            eventlet.sleep(self.interval_s)

    def _run_step(self):
        try:
            self.run_once()
        except MerlinnotchError as error:
            self._note(True, str(error))
        except Exception:
            logger.exception("task step failed", extra={"task": self.name})
            self._failing = True
        else:
            self._note(False, "")

    def _note(self, failing, reason):
        if failing != self._failing:
            self._failing = failing
            message = "task failing" if failing else "task working"
            logger.info(message, extra={"task": self.name, "reason": reason})
