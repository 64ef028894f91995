"""Load tool: open-loop arrivals, and what became of each request."""

from merlintrail.load._generator import (
    LoadGenerator,
    LoadKind,
    LoadResult,
    Sample,
)

__all__ = ('LoadGenerator', 'LoadKind', 'LoadResult', 'Sample')
