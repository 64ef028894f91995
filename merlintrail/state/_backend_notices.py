"""What backend servers stated in the answers that this node passed on."""

from typing import Final, NamedTuple

from merlintrail.protocol import CallReport, RunNotice, read_run_notice
from merlintrail.state._members import Member

#: Largest number of notices that are kept, one for each backend server; the
#: oldest is dropped first.
MAX_NOTICES: Final = 4096


class _Place(NamedTuple):
    """A service at a node."""

    node_id: str
    service: str


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
            self._keep(member, service, notice)
        elif not report.reason:
            self._kept.pop(_Place(member.node_id, service), None)

    def record_member(self, previous: Member | None, member: Member) -> None:
        """Record departures; a listener of the member table."""
        for offer in member.offers:
            if offer.departure is not None:
                self._keep(member, offer.service, offer.departure)

    def find_lost(self, member: Member, service: str) -> RunNotice | None:
        """Return a notice that an earlier run of a node reported."""
        kept = self._kept.get(_Place(member.node_id, service))
        if kept is None or kept.incarnation == member.incarnation:
            return None
        return kept.notice

    def _keep(self, member: Member, service: str, notice: RunNotice) -> None:
        place = _Place(member.node_id, service)
        self._kept.pop(place, None)
        self._kept[place] = _KeptNotice(notice, member.incarnation)
        if len(self._kept) > MAX_NOTICES:
            del self._kept[next(iter(self._kept))]
