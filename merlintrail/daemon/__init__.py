"""The program ``merlintraild``."""

from merlintrail.daemon._main import run_daemon

__all__ = ('run_daemon',)
