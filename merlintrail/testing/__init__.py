"""Helpers for tests: a loop whose time is virtual, servers on threads."""

from merlintrail.testing._server_thread import ServerThread
from merlintrail.testing._virtual_loop import VirtualLoop, run_virtually

__all__ = ('ServerThread', 'VirtualLoop', 'run_virtually')
