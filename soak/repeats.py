"""Connections of upstreams that repeat answers or refuse requests before their body."""

import enum
import itertools
import re

import eventlet

from merlinnotch._entry.clock import read_clock
from merlinnotch._http.caller import CallerConnection

MAX_REPEAT_PAUSE_S = 0.008
MAX_UNREAD_S = 0.1
"""Longest time between an early refusal and the reading of the body."""
ID_LINE = re.compile(rb"x-attempt-id: ([^\r]*)\r\n")


class RepeatTime(enum.StrEnum):
    """When an answer is repeated."""

    LATE = "before the next answer"
    AT_ONCE = "at once"


FORMS = tuple(itertools.product(RepeatTime, (True, False), (1, 2)))
"""Forms of repeats: their time, whether with the id, and the number of copies."""


class RepeatingConnection(CallerConnection):
    """Connection to an upstream that repeats some answers.

    *choose_form* returns one of FORMS, or None for an answer that is not repeated.
    *refuse_early* takes the head of a request and returns the bytes of a refusal, or
    None to read the body. *record* is called with the attempt id and the form of each
    repeat. *generator* is a random.Random.
    """

    def __init__(self, sock, choose_form, refuse_early, record, generator):
        super().__init__(sock, read_clock, 5.0)
        self._choose_form = choose_form
        self._refuse_early = refuse_early
        self._record = record
        self._generator = generator
        self._refusal = None
        self._answer_parts = []
        self._late_repeat = None

    def read_request(self, limits, idle_timeout_s):
        """Return the next request that has not been refused before its body."""
        while True:
            request = super().read_request(limits, idle_timeout_s)
            if request is None or self._refusal is None:
                return request
            # The refusal bypassed the connection state, like all answers.
            self.encode_head(503, [], 0)
            self.encode_end()
            if not self.finish():
                return None

    def write(self, data):
        """Send encoded bytes, before them the answer that is to be repeated late."""
        if not self._answer_parts and self._late_repeat is not None:
            repeat, self._late_repeat = self._late_repeat, None
            self._send_again(*repeat)
        self._answer_parts.append(data)
        super().write(data)

    def finish(self):
        """End the request and repeat its answer, at once or later."""
        answer = b"".join(self._answer_parts)
        self._answer_parts.clear()
        if not super().finish():
            return False
        form = self._choose_form()
        if form is None:
            return True
        if form[0] is RepeatTime.LATE:
            self._late_repeat = (answer, form)
        else:
            eventlet.sleep(self._generator.uniform(0.0, MAX_REPEAT_PAUSE_S))
            self._send_again(answer, form)
        return True

    def _send_again(self, answer, form):
        time, has_id, copies = form
        match = ID_LINE.search(answer)
        attempt_id = match[1].decode() if match else ""
        self._record(attempt_id, f"{time} {'' if has_id else 'without id '}x {copies}")
        if not has_id:
            answer = ID_LINE.sub(b"", answer, count=1)
        super().write(copies * answer)

    def _read_head(self, limits, deadline):
        end = super()._read_head(limits, deadline)
        self._refusal = self._refuse_early(self._buffer[:end])
        if self._refusal is not None:
            self.write(self._refusal)
            eventlet.sleep(self._generator.uniform(0.0, MAX_UNREAD_S))
        return end
