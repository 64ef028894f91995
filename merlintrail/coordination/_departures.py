"""Departures of backend servers, which other nodes keep for a restarted one.

A node that acknowledged a departure is bound by it also after a restart, when
an announcement that the backend server sent before may still arrive.
"""

import abc
from collections.abc import Sequence

from merlintrail.protocol import RunNotice, read_run_notice
from merlintrail.state import Member, read_member


class DepartureRecord(abc.ABC):
    """What a node knows of departed backend servers, its own and others'."""

    def list_for(self, record: object) -> Sequence[RunNotice]:
        """Return what the earlier runs of a joining node reported.

        :param record: that node's member record, as received.
        """
        member = read_member(record)
        return () if member is None else self.list_departures(member)

    def restore(self, records: object) -> None:
        """Restore what earlier runs of this node reported.

        :param records: sequence of records of
            :class:`~merlintrail.protocol.RunNotice`; others are skipped.
        """
        if not isinstance(records, Sequence):
            return
        for record in records:
            notice = read_run_notice(record)
            if notice is not None and notice.is_leaving:
                self.restore_departure(notice)

    @abc.abstractmethod
    def list_departures(self, member: Member) -> Sequence[RunNotice]:
        """Return the departures that earlier runs of a node reported."""

    @abc.abstractmethod
    def restore_departure(self, notice: RunNotice) -> None:
        """Record a departure that an earlier run of this node reported."""


class NoDepartures(DepartureRecord):
    """Knows no departures."""

    def list_departures(self, member: Member) -> Sequence[RunNotice]:
        """Return nothing."""
        return ()

    def restore_departure(self, notice: RunNotice) -> None:
        """Do nothing."""
