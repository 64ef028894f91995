"""Web console and administration API of a node."""

from merlintrail.console._server import Console, start_console

__all__ = ('Console', 'start_console')
