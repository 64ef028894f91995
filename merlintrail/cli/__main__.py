"""Run the command line with ``python -m merlintrail.cli``."""

from merlintrail.cli import run_command

run_command()
