"""Helpers for tests: an event loop whose time is virtual."""

from merlintrail.testing._virtual_loop import VirtualLoop, run_virtually

__all__ = ('VirtualLoop', 'run_virtually')
