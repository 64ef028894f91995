"""Fetching a newer configuration from the nodes that announce it."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from merlintrail.coordination._configuration_application import (
    apply_configuration,
)
from merlintrail.coordination._peers import PeerClient
from merlintrail.coordination._sections import (
    SectionedEnvelope,
    hash_sections,
    merge_difference,
)
from merlintrail.observability import create_logger
from merlintrail.protocol import DecodeFailure, decode_record
from merlintrail.state import ConfigurationHolder, Envelope
from merlintrail.transport import TransportFailure

#: Seconds after which another source is asked too. A source may have been
#: stopped or cut off since it announced the configuration.
PATIENCE_S: Final = 0.4
#: Seconds in which a source has to answer. A large document takes longer than
#: the patience between regions.
PULL_TIMEOUT_S: Final = 5.0
#: Sources that are asked at a time; the oldest attempt makes room for another.
MAX_PULLS: Final = 3
#: Seconds that each attempt has before it makes room.
MIN_PULL_S: Final = 2.0

_LOG: Final = create_logger('configuration')


class ConfigurationPull:
    """Fetches a configuration until one of its sources has delivered it.

    A source that does not answer delays the next one only for a short time,
    and is asked once more on a new connection when there is no other.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        peers: PeerClient,
        notify: Callable[[], None],
    ) -> None:
        """Initialize the pull.

        :param notify: called after a newer configuration was accepted.
        """
        self._holder = holder
        self._peers = peers
        self._notify = notify
        #: Generations of the sources to ask next, by address.
        self._announced: dict[str, int] = {}
        #: Generations of the sources that were asked once since the last
        #: accepted configuration, by address.
        self._asked: dict[str, int] = {}
        self._pulls: list[asyncio.Task[bool]] = []
        #: Event loop times at which they were begun.
        self._begun_at: dict[asyncio.Task[bool], float] = {}
        self._task: asyncio.Task[None] | None = None

    def announce(self, address: str, generation: int) -> None:
        """Record that a node has a configuration, and fetch it if newer."""
        if generation <= self._holder.generation:
            return
        self._announced[address] = generation
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    async def pull(self, address: str, *, is_fresh: bool = False) -> bool:
        """Fetch the configuration from one node.

        :param is_fresh: whether to use a new connection.
        :returns: whether the configuration was accepted.
        """
        # The answer is a difference to this version, whichever is in force
        # when it arrives.
        base = self._holder.envelope
        hashes = {} if base is None else hash_sections(base.document)
        asked_at = _now()
        answer = await self._peers.send_request(
            address,
            'configuration',
            {'hashes': hashes},
            timeout_s=PULL_TIMEOUT_S,
            is_fresh=is_fresh,
        )
        is_accepted = await self._accept(answer, base)
        _LOG.info(
            'configuration pulled',
            extra={
                'source': address,
                'waited_s': round(_now() - asked_at, 3),
                'is_fresh': is_fresh,
                'is_accepted': is_accepted,
                'generation': self._holder.generation,
                'reason': _describe_failure(answer),
            },
        )
        return is_accepted

    async def _run(self) -> None:
        """Ask one source after the other until none is left."""
        try:
            while True:
                address = self._take_source()
                if address is None and not self._pulls:
                    return
                if address is not None:
                    self._begin_pull(address)
                if not await self._wait():
                    self._ask_again()
        finally:
            self._cancel_pulls()
            self._asked.clear()

    def _take_source(self) -> str | None:
        """Return the source to ask next, the one announced last."""
        while self._announced:
            address, generation = self._announced.popitem()
            if generation > self._holder.generation:
                return address
        return None

    def _begin_pull(self, address: str) -> None:
        """Ask a source, unless all attempts under way need more time."""
        if len(self._pulls) >= MAX_PULLS and not self._make_room():
            self._announced[address] = self._holder.generation + 1
            return
        is_fresh = address in self._asked
        self._asked[address] = self._holder.generation + 1
        pull = asyncio.create_task(self.pull(address, is_fresh=is_fresh))
        self._pulls.append(pull)
        self._begun_at[pull] = _now()

    def _make_room(self) -> bool:
        """Cancel the oldest attempt if it has had its time."""
        oldest = self._pulls[0]
        if _now() - self._begun_at[oldest] < MIN_PULL_S:
            return False
        oldest.cancel()
        del self._begun_at[oldest]
        del self._pulls[0]
        return True

    def _ask_again(self) -> None:
        """Ask a silent source on a new connection if there is no other.

        The connection may have fallen silent, and not the source.
        """
        if not self._announced and len(self._pulls) < MAX_PULLS:
            self._announced.update(self._asked)

    async def _wait(self) -> bool:
        """Wait until a source has answered, or another one is due.

        :returns: whether one has answered.
        """
        done, _ = await asyncio.wait(
            self._pulls,
            timeout=PATIENCE_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._pulls = [pull for pull in self._pulls if pull not in done]
        for finished in done:
            del self._begun_at[finished]
        if any(_has_succeeded(pull) for pull in done):
            self._cancel_pulls()
            self._asked.clear()
            self._notify()
        return bool(done)

    def _cancel_pulls(self) -> None:
        for pull in self._pulls:
            pull.cancel()
        self._pulls = []
        self._begun_at.clear()

    async def _accept(self, answer: Any, base: Envelope | None) -> bool:
        if isinstance(answer, TransportFailure):
            return False
        difference = decode_record(SectionedEnvelope, answer)
        if isinstance(difference, DecodeFailure):
            return False
        merged = merge_difference(difference, base)
        if merged is None:
            return False
        return await apply_configuration(self._holder, merged)


def _has_succeeded(pull: asyncio.Task[bool]) -> bool:
    """Return whether a finished pull was accepted; log an error of it."""
    if pull.cancelled():
        return False
    error = pull.exception()
    if error is not None:
        _LOG.error('configuration pull failed', extra={'reason': repr(error)})
        return False
    return pull.result()


def _describe_failure(answer: Any) -> str | None:
    return answer.reason if isinstance(answer, TransportFailure) else None


def _now() -> float:
    return asyncio.get_running_loop().time()
