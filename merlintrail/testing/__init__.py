"""Test helpers: an event loop with virtual time, and servers."""

from merlintrail.testing._server_thread import ServerThread
from merlintrail.testing._stream_server import StreamServer
from merlintrail.testing._virtual_loop import VirtualLoop, run_virtually

__all__ = ('ServerThread', 'StreamServer', 'VirtualLoop', 'run_virtually')
