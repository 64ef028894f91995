"""Run the daemon with ``python -m merlintrail.daemon``."""

from merlintrail.daemon import run_daemon

run_daemon()
