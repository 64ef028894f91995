"""Soak of the promises to callers under faults of all kinds.

Run it with ``python -m merlintrail.bench.fault_soak``.
"""

from merlintrail.bench.fault_soak._run import run_soak

__all__ = ('run_soak',)
