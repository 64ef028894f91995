"""Soak of route changes beside faults.

Run it with ``python -m merlintrail.bench.change_soak``.
"""

from merlintrail.bench.change_soak._run import run_change_soak

__all__ = ('run_change_soak',)
