"""One HTTP answer, read to its end and checked to be whole."""

from dataclasses import dataclass

import httptools

from sassafraswinch.errors import SassafraswinchError
from sassafraswinch.messages import Headers

MAX_HEADER_BYTES = 64 * 1024
"""Most bytes of header names and values in one answer."""

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Header fields that concern one connection only, and are not passed on."""

_BODILESS_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpAnswer:
    """A whole answer; fields that concern the connection are left out."""

    status: int
    headers: Headers
    body: bytes


class AnswerError(SassafraswinchError):
    """An answer is malformed, truncated or too large.

    Attributes:
        reason: what is wrong, in words for a log line.
        too_large: the answer exceeds a bound.
    """

    def __init__(self, *, reason: str, too_large: bool = False):
        super().__init__(reason)
        self.reason = reason
        self.too_large = too_large


class AnswerParser:
    """Parses the answer to one request; informational answers are skipped.

    Args:
        method: the method of the request; an answer to HEAD has no body.
        max_body_bytes: longest body that is read.

    Attributes:
        answer: the answer once it is whole, before that None.
        reusable: whether the connection may carry a further request.
    """

    def __init__(self, *, method: str, max_body_bytes: int):
        self.answer: HttpAnswer | None = None
        self.reusable = False
        self._method = method
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._in_body = False
        self._ends_with_connection = False
        self._fault: AnswerError | None = None

    def feed(self, data: bytes) -> None:
        """Parse what was read.

        Raises:
            AnswerError: the answer is malformed or too large.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise AnswerError(reason="it switches protocols") from error
        except httptools.HttpParserError as error:
            if self.answer is None:
                raise self._fault or AnswerError(reason=str(error)) from error
            self.reusable = False

    def finish(self) -> None:
        """Take note that the connection has ended in order.

        Raises:
            AnswerError: the answer was cut off.
        """
        self.reusable = False
        if self.answer is None and self._in_body and self._ends_with_connection:
            self._complete()
        if self.answer is None:
            raise AnswerError(reason="the connection ended before the answer did")

    def on_message_begin(self) -> None:
        """Note a further answer that nobody asked for (httptools)."""
        self._headers.clear()
        self._header_bytes = 0
        self._in_body = False
        if self.answer is not None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field; a trailer field is dropped (httptools)."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            reason = f"its header fields exceed {MAX_HEADER_BYTES} bytes"
            self._fail(reason, too_large=True)
        if not self._in_body:
            field = name.decode("latin-1").lower(), value.decode("latin-1")
            self._headers.append(field)

    def on_headers_complete(self) -> None:
        """Find out how the body ends (httptools)."""
        if self.answer is not None or self._parser.get_status_code() < 200:
            return
        self._in_body = True
        self.reusable = self._parser.should_keep_alive()
        status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        if self._method == "HEAD" or status in _BODILESS_STATUSES:
            self._complete()
        elif "transfer-encoding" in names:
            self._check_transfer_coding()
        else:
            self._ends_with_connection = "content-length" not in names

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body (httptools)."""
        if self.answer is not None:
            self.reusable = False
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            reason = f"its body exceeds {self._max_body_bytes} bytes"
            self._fail(reason, too_large=True)
        self._chunks.append(data)

    def on_message_complete(self) -> None:
        """Make the answer, unless it is an informational one (httptools)."""
        if self._in_body and self.answer is None:
            self._complete()

    def _complete(self) -> None:
        self.answer = HttpAnswer(
            status=self._parser.get_status_code(),
            headers=end_to_end(self._headers),
            body=b"".join(self._chunks),
        )

    def _check_transfer_coding(self) -> None:
        codings = [v for name, v in self._headers if name == "transfer-encoding"]
        if [coding.strip().lower() for coding in codings] != ["chunked"]:
            self._fail("its transfer coding is not just chunked")

    def _fail(self, reason: str, *, too_large: bool = False) -> None:
        self._fault = AnswerError(reason=reason, too_large=too_large)
        raise self._fault


def end_to_end(headers: list[tuple[str, str]] | Headers) -> Headers:
    """Return the header fields without those that concern one connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_HEADERS | named if named else HOP_HEADERS
    return tuple(field for field in headers if field[0] not in dropped)
