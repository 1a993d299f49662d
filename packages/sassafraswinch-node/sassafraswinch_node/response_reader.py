"""Reads the answers that come on one kept connection."""

import asyncio
import select

from sassafraswinch_node.http_answer import AnswerError, AnswerParser


class AnswerReader(asyncio.Protocol):
    """Feeds the parser of the request at hand with what the connection delivers.

    A connection that ends, or delivers anything, while no request is at hand is
    closed at once, and so isn't taken for a usable one.
    """

    def __init__(self, *, transport: asyncio.Transport):
        self._transport = transport
        self._parser: AnswerParser | None = None
        self._ended: asyncio.Future | None = None
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def expect(self, parser: AnswerParser) -> asyncio.Future:
        """Feed ``parser`` from now on; the future ends with its answer."""
        self._parser = parser
        self._ended = asyncio.get_running_loop().create_future()
        return self._ended

    def is_quiet(self) -> bool:
        """Return False if the peer has closed, or sent what nobody asked for.

        The event loop may not have come to read it yet: a request written now would
        meet the close, and nobody could say whether it ran.
        """
        return not self._transport.is_closing() and not self._poll.poll(0)

    def is_request_sent(self) -> bool:
        """Return False if the peer has answered before it read the whole request.

        It may close the connection for that, and a further request would meet it.
        """
        return not self._transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse what was read (asyncio.Protocol)."""
        if self._parser is None:
            self._transport.abort()
            return
        try:
            self._parser.feed(data)
        except AnswerError as error:
            self._end(error)
        else:
            if self._parser.answer is not None:
                self._end(None)

    def eof_received(self) -> None:
        """Let the parser judge whether the answer is whole (asyncio.Protocol)."""
        if self._parser is None:
            return
        try:
            self._parser.finish()
        except AnswerError as error:
            self._end(error)
        else:
            self._end(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request at hand (asyncio.Protocol)."""
        if self._parser is not None:
            reason = f"the connection was lost: {exc or 'closed here'}"
            self._end(AnswerError(reason=reason))

    def _end(self, error: AnswerError | None) -> None:
        parser, self._parser = self._parser, None
        if self._ended.done():
            return
        if error is None:
            self._ended.set_result(parser.answer)
        else:
            self._ended.set_exception(error)
