"""Stand-in of the service that rates answers.

Reads the quality that the stand-in engine wrote into the answer. Submissions with
``wait_ms`` are rated in the reply and published later; of the others only a share
is published. ``PUT /standin/switches`` changes its behaviour:

``down``     answer every call with 503
``share``    share of submissions without ``wait_ms`` to rate, 0 to 1
``delay_s``  delay before a rating is published
"""

from standins.server import Reply, change_switches, serve

import argparse
import itertools
import re
from dataclasses import dataclass

import eventlet

QUALITY = re.compile(r"\[q=([0-9.]+)\]")
RATING_DELAY_S = 0.005
MAX_ROWS_PER_SOURCE = 10_000


@dataclass
class Switches:
    """Faults to simulate, and rating parameters."""

    down: bool = False
    share: float = 1.0
    delay_s: float = 0.5


class Ratings:
    """Request handler and state of the rating service."""

    def __init__(self):
        self.switches = Switches()
        self.rows = {}
        self.submitted = 0
        self._sequence = itertools.count(1)

    def handle(self, request):
        """Return the reply to *request*."""
        if request.path == "/standin/switches":
            return change_switches(self.switches, request)
        if request.path == "/standin/state":
            return Reply({"submitted": self.submitted})
        if self.switches.down:
            return Reply({"error": "down"}, 503)
        if request.method == "GET":
            after = int(request.query.get("after", 0))
            rows = self.rows.get(request.query["source"], [])
            return Reply([row for row in rows if row["sequence"] > after])
        if request.path.endswith("/batch"):
            for submission in request.json():
                self._submit(submission)
            return Reply({}, 202)
        return self._submit(request.json())

    def _submit(self, submission):
        self.submitted += 1
        if submission["wait_ms"]:
            eventlet.sleep(RATING_DELAY_S)
            score = _score(submission)
            eventlet.spawn_after(self.switches.delay_s, self._publish, submission)
            return Reply({"score": score})
        if (self.submitted * 0.618) % 1 < self.switches.share:
            eventlet.spawn_after(self.switches.delay_s, self._publish, submission)
        return Reply({}, 202)

    def _publish(self, submission):
        rows = self.rows.setdefault(submission["source"], [])
        copied_fields = ("request_id", "version", "kind")
        row = {name: submission[name] for name in copied_fields}
        rows.append(
            {**row, "sequence": next(self._sequence), "score": _score(submission)}
        )
        del rows[:-MAX_ROWS_PER_SOURCE]


def _score(submission):
    match = QUALITY.search(submission["answer"])
    return float(match.group(1)) if match else 0.0


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    options = parser.parse_args()
    serve(options.address, Ratings().handle)


if __name__ == "__main__":
    main()
