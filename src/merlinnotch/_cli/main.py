"""The entry point of the ``merlinnotch`` command."""

import sys


def main():
    """Run the command line."""
    if sys.argv[1:2] == ["serve"]:
        # Must come before anything that opens a socket or makes a lock is
        # imported, the command line's own libraries included.
        import os
        import warnings

        # Addresses are IP numbers; its resolver would cost 8 MB for nothing.
        os.environ["EVENTLET_NO_GREENDNS"] = "yes"
        # Its own advice against itself; docs/design says why it is used.
        warnings.filterwarnings("ignore", module="merlinnotch")
        import eventlet

        eventlet.monkey_patch()
    from .application import build_application

    sys.exit(build_application().run())
