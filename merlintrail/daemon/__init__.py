"""The daemon ``merlintraild``, which runs one node as a process."""

from merlintrail.daemon._startup import run_daemon

__all__ = ('run_daemon',)
