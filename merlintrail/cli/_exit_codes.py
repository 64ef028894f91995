"""Exit statuses of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of ``merlintrail``."""

    OK = 0
    #: The command failed for a reason that has no status of its own.
    FAILED = 1
    #: The command or its arguments are invalid.
    USAGE = 2
    #: Validation of the document or settings reported findings.
    INVALID = 3
    #: Another operator changed the document first; nothing was applied.
    CONFLICT = 4
    #: The node or the store could not be reached.
    UNREACHABLE = 5
    #: The operator key is missing or wrong.
    UNAUTHORIZED = 6
    #: The document was applied, but not every node had it in force in time.
    NOT_EVERYWHERE = 7
