"""Tests of the HTTP client on the event loop of sidecars."""

import asyncio
import socket
import struct
import threading
import time

import pytest

from sassafraswinch_sidecar.event_loop import new_event_loop
from sassafraswinch_sidecar.http_client import Exchange, Fault, HttpClient

HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing the socket resets the connection."""


def serve_once(listener, reset):
    connection, _ = listener.accept()
    with connection:
        connection.recv(4_096)
        connection.sendall(HEAD + b"part of the body")
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def result_of_request(reset):
    """Return the result of a request whose response ends with its connection."""
    loop = asyncio.get_running_loop()
    done = loop.create_future()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        serving = threading.Thread(target=serve_once, args=(listener, reset))
        serving.start()
        client = HttpClient(ip="127.0.0.1", port=listener.getsockname()[1])
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        client.send(
            Exchange(
                request, b"GET", lambda _: True, lambda _, end: done.set_result(end)
            )
        )
        while serving.is_alive():
            await asyncio.sleep(0)
            # Blocks the loop, so that the bytes and the close arrive together.
            time.sleep(0.02)
        try:
            async with asyncio.timeout(5):
                return await done
        finally:
            client.close()


@pytest.mark.parametrize("loop_factory", [new_event_loop, asyncio.new_event_loop])
def test_reset_response_is_not_complete(loop_factory):
    """A server crashes while it writes a response without a length. Its last bytes and
    the reset arrive together, which libuv reports as end of file: the caller would get
    the partial body as if it were complete.
    """
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(result_of_request(reset=True)) is Fault.RESET
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(result_of_request(reset=False)).body == b"part of the body"
