"""Received requests of a connection that have no answer yet."""

import asyncio
from collections import deque
from collections.abc import Awaitable
from typing import NamedTuple

from merlintrail.transport._bad_request import BadRequest
from merlintrail.transport._message import HttpRequest, HttpResponse
from merlintrail.transport._own_answers import AnswerBuilder, build_refusal


class PendingRequest(NamedTuple):
    """A received request that has not been answered yet."""

    request: HttpRequest | BadRequest
    #: Task of a request that arrived while another was being served.
    task: 'asyncio.Task[HttpResponse] | None' = None

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the answer."""
        return isinstance(self.request, HttpRequest) and (
            self.request.keeps_alive
        )

    @property
    def wants_body(self) -> bool:
        """Whether the answer has a body."""
        request = self.request
        return isinstance(request, BadRequest) or request.method != 'HEAD'

    @property
    def has_begun(self) -> bool:
        """Whether it is being served, or refused already."""
        return self.task is not None or isinstance(self.request, BadRequest)

    def drop(self) -> None:
        """Cancel its task, and give back the memory that it has taken.

        A task that runs on, as the request may not be interrupted, keeps the
        memory until it ends.
        """
        task = self.task
        if task is not None and task.cancel():
            task.add_done_callback(lambda _: self._give_back())
            return
        if task is not None:
            _take_exception(task)
        self._give_back()

    def find_answer(self, build_answer: AnswerBuilder) -> HttpResponse:
        """Return the answer if it is known, or build one.

        :param build_answer: builds the answer to a request that has none.
        """
        if isinstance(self.request, BadRequest):
            return build_refusal(self.request)
        task = self.task
        is_known = (
            task is not None
            and task.done()
            and not task.cancelled()
            and task.exception() is None
        )
        if task is None or not is_known:
            return build_answer(self.request)
        return task.result()

    def _give_back(self) -> None:
        request = self.request
        if isinstance(request, HttpRequest) and request.hold is not None:
            request.hold.release()


def _take_exception(task: 'asyncio.Task[HttpResponse]') -> None:
    """Take the exception of a task that ended, which is not needed."""
    if not task.cancelled():
        task.exception()


async def await_answer(answer: Awaitable[HttpResponse]) -> HttpResponse:
    """Await an answer, as the coroutine of a task."""
    return await answer


def drop_all(pending_requests: deque[PendingRequest]) -> None:
    """Drop requests, and empty their queue."""
    for pending in pending_requests:
        pending.drop()
    pending_requests.clear()
