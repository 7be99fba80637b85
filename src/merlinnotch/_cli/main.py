"""Entry point of the ``merlinnotch`` command."""

import sys

EVENTLET_COMMANDS = ("serve", "check-platform")
"""Commands that use the client of the platform's store, which needs eventlet."""


def main():
    """Run the command line."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command in EVENTLET_COMMANDS:
        import os
        import warnings

        # All addresses are IP addresses, so eventlet's DNS resolver isn't needed.
        os.environ["EVENTLET_NO_GREENDNS"] = "yes"
        # Hides eventlet's deprecation warning.
        warnings.filterwarnings("ignore", module="merlinnotch")
    if command == "serve":
        # eventlet must patch the standard library before any module that uses sockets
        # or locks is imported, including the command-line library.
        import eventlet

        eventlet.monkey_patch()
    from .application import build_application

    sys.exit(build_application().run())
