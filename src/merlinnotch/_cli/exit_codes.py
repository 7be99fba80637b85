"""Exit codes of the commands."""

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_FILE = 3
    CONFLICT = 4
    STORE_UNREACHABLE = 5
    NOT_IN_FORCE = 6
