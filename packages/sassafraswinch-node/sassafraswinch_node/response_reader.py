"""Reader of the HTTP responses that arrive on one persistent connection."""

import asyncio
import select

from sassafraswinch_node.http_response import ResponseError, ResponseParser


class ResponseReader(asyncio.Protocol):
    """Feeds received data to the parser of the current request.

    A connection that ends or delivers data while no request is pending is closed at
    once, so that it is not reused.
    """

    def __init__(self, *, transport: asyncio.Transport):
        self._transport = transport
        self._parser: ResponseParser | None = None
        self._pending_response: asyncio.Future | None = None
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def read_response(self, parser: ResponseParser) -> asyncio.Future:
        """Feed received data to ``parser``; return a future of its response."""
        self._parser = parser
        self._pending_response = asyncio.get_running_loop().create_future()
        return self._pending_response

    def is_idle(self) -> bool:
        """Return False if the peer has closed the connection or sent unexpected data.

        The socket is polled directly, since the event loop may not have read it yet.
        A request written to a closed connection would fail without it being known
        whether it was executed.
        """
        return not self._transport.is_closing() and not self._poll.poll(0)

    def is_request_sent(self) -> bool:
        """Return False if the peer responded before it read the full request.

        It may close the connection afterwards, so no further request may use it.
        """
        return not self._transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse received data (asyncio.Protocol)."""
        if self._parser is None:
            self._transport.abort()
            return
        try:
            self._parser.feed(data)
        except ResponseError as error:
            self._finish(error)
        else:
            if self._parser.response is not None:
                self._finish(None)

    def eof_received(self) -> None:
        """Check that the response is complete (asyncio.Protocol)."""
        if self._parser is None:
            return
        try:
            self._parser.finish()
        except ResponseError as error:
            self._finish(error)
        else:
            self._finish(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current request (asyncio.Protocol)."""
        if self._parser is not None:
            reason = f"the connection was lost: {exc or 'closed locally'}"
            self._finish(ResponseError(reason=reason))

    def _finish(self, error: ResponseError | None) -> None:
        parser, self._parser = self._parser, None
        pending, self._pending_response = self._pending_response, None
        if pending.done():
            return
        if error is None:
            pending.set_result(parser.response)
        else:
            pending.set_exception(error)
