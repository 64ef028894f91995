"""Answers to callers for tests of the servers alone."""

from merlintrail.transport import HttpRequest, HttpResponse


class FakeCallerAnswers:
    """Fixed answers to requests that are not served to their end."""

    def read_request_id(self, request: HttpRequest) -> str | None:
        """Return that there is no identifier."""
        return None

    def build_last_answer(self, request: HttpRequest) -> HttpResponse:
        """Build an answer without a body."""
        return HttpResponse(504, (), b'')

    def build_failure(
        self, request: HttpRequest, error: BaseException
    ) -> HttpResponse:
        """Build an answer without a body."""
        return HttpResponse(500, (), b'')
