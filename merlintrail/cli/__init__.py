"""Command line interface of operators: the program ``merlintrail``."""

from merlintrail.cli._main import run_command

__all__ = ('run_command',)
