"""Stand-in of many upstreams at once: each address answers ``/load``.

Each reply differs from the one before, as for a busy upstream.
"""

from standins.server import Reply, listen

import argparse
import itertools

import eventlet

SLOTS = 64


class LoadReporter:
    """Reports a load that changes with each request."""

    def __init__(self):
        self._counter = itertools.count()

    def handle(self, request):
        """Return the reply to *request*."""
        running = next(self._counter) % SLOTS
        return Reply({"running": running, "waiting": 0, "slots": SLOTS})


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", required=True, help="comma-separated")
    options = parser.parse_args()
    reporter = LoadReporter()
    for address in options.addresses.split(","):
        eventlet.spawn(listen, address, reporter.handle)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
