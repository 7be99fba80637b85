"""Stand-in of many upstreams at once: each address answers ``/load``.

Every answer differs from the one before, as on a busy upstream.
"""

from standins.server import Reply, listen

import argparse
import itertools

import eventlet

SLOTS = 64


class Herd:
    """Counts up, so that no two load reports are the same."""

    def __init__(self):
        self._numbers = itertools.count()

    def handle(self, request):
        """Answer one request."""
        running = next(self._numbers) % SLOTS
        return Reply({"running": running, "waiting": 0, "slots": SLOTS})


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", required=True, help="comma-separated")
    options = parser.parse_args()
    herd = Herd()
    for address in options.addresses.split(","):
        eventlet.spawn(listen, address, herd.handle)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
