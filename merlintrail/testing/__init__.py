"""Test helpers: an event loop with virtual time, and servers in threads."""

from merlintrail.testing._server_thread import ServerThread
from merlintrail.testing._virtual_loop import VirtualLoop, run_virtually

__all__ = ('ServerThread', 'VirtualLoop', 'run_virtually')
