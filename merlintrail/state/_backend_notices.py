"""What backend servers stated in the answers that this node passed on."""

from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.protocol import CallReport, RunNotice, read_run_notice
from merlintrail.state._members import Member

#: Largest number of notices that are kept, one for each backend server; the
#: oldest is dropped first.
MAX_NOTICES: Final = 4096


class _Place(NamedTuple):
    """A service at a node."""

    node_id: str
    service: str


class StatedNotice(NamedTuple):
    """A notice as one node tells it to another."""

    #: Node beside the backend server.
    node_id: str
    #: Run of that node that reported the notice.
    incarnation: int
    #: The fields of ``RunNotice``.
    notice: Sequence[Any]


class _KeptNotice(NamedTuple):
    """A notice, and the run of the node that reported it."""

    notice: RunNotice
    incarnation: int


class BackendNotices:
    """Notices that a restarted node beside a backend server has lost.

    The node beside a backend server keeps to its statements, but forgets them
    when it restarts. The nodes that passed them on, or heard of a departure,
    tell it with their calls, until it has had an answer itself.
    """

    def __init__(self) -> None:
        self._kept: dict[_Place, _KeptNotice] = {}

    def record(self, member: Member, service: str, report: CallReport) -> None:
        """Record what a node reports of its backend server.

        A refusal that reports nothing leaves what is known: the node may not
        have heard of its backend server since it started.
        """
        notice = read_run_notice(report.notice)
        if notice is not None:
            self._keep(
                _Place(member.node_id, service),
                _KeptNotice(notice, member.incarnation),
            )
        elif not report.reason:
            self._kept.pop(_Place(member.node_id, service), None)

    def record_member(self, previous: Member | None, member: Member) -> None:
        """Record departures; a listener of the member table."""
        for offer in member.offers:
            if offer.departure is not None:
                self._keep(
                    _Place(member.node_id, offer.service),
                    _KeptNotice(offer.departure, member.incarnation),
                )

    def find_lost(self, member: Member, service: str) -> RunNotice | None:
        """Return a notice that an earlier run of a node reported."""
        kept = self._kept.get(_Place(member.node_id, service))
        if kept is None or kept.incarnation == member.incarnation:
            return None
        return kept.notice

    def list_lost(
        self, service: str, members: Iterable[Member]
    ) -> tuple[StatedNotice, ...]:
        """Return the notices that earlier runs of the members reported."""
        if not self._kept:
            return ()
        lost = []
        for member in members:
            kept = self._kept.get(_Place(member.node_id, service))
            if kept is not None and kept.incarnation != member.incarnation:
                lost.append(
                    StatedNotice(member.node_id, kept.incarnation, kept.notice)
                )
        return tuple(lost)

    def list_departures(self, member: Member) -> list[RunNotice]:
        """Return the departures that earlier runs of a node reported."""
        return [
            kept.notice
            for place, kept in self._kept.items()
            if place.node_id == member.node_id
            and kept.incarnation != member.incarnation
            and kept.notice.is_leaving
            and kept.notice.identity is not None
        ]

    def adopt(self, service: str, records: object) -> None:
        """Keep the notices of a service that another node has told.

        Malformed records are skipped, and so is what an earlier run of a node
        reported than the one known here.

        :param records: sequence of the fields of :class:`StatedNotice`.
        """
        if not isinstance(records, Sequence):
            return
        for record in records:
            stated = _read_stated_notice(record)
            notice = stated and read_run_notice(stated.notice)
            if stated is None or notice is None:
                continue
            place = _Place(stated.node_id, service)
            kept = self._kept.get(place)
            if kept is None or kept.incarnation < stated.incarnation:
                self._keep(place, _KeptNotice(notice, stated.incarnation))

    def _keep(self, place: _Place, kept: _KeptNotice) -> None:
        self._kept.pop(place, None)
        self._kept[place] = kept
        if len(self._kept) > MAX_NOTICES:
            del self._kept[next(iter(self._kept))]


def _read_stated_notice(record: object) -> StatedNotice | None:
    if not isinstance(record, Sequence) or len(record) != len(
        StatedNotice._fields
    ):
        return None
    stated = StatedNotice(*record)
    is_valid = isinstance(stated.node_id, str) and isinstance(
        stated.incarnation, int
    )
    return stated if is_valid else None
