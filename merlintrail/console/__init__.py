"""Console of forms and administration API."""

from merlintrail.console._server import Console, start_console

__all__ = ('Console', 'start_console')
