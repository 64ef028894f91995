"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """What the exit status of ``merlintrail`` tells."""

    OK = 0
    #: Something else failed.
    FAILED = 1
    #: The command was not understood.
    USAGE = 2
    #: The document or settings have findings.
    INVALID = 3
    #: Another operator changed the document first; nothing was applied.
    CONFLICT = 4
    #: The node or the store was not reached.
    UNREACHABLE = 5
    #: The operator key is missing or wrong.
    UNAUTHORIZED = 6
    #: Applied, but not in force everywhere in time.
    NOT_EVERYWHERE = 7
