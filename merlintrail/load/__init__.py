"""Open-loop load generator that records the outcome of each request."""

from merlintrail.load._generator import (
    LoadGenerator,
    LoadKind,
    LoadResult,
    Sample,
)

__all__ = ('LoadGenerator', 'LoadKind', 'LoadResult', 'Sample')
