"""The HTTP client on the event loop that sidecars run on."""

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
"""Value of SO_LINGER by which closing resets the connection."""


def serve_once(listener, reset):
    connection, _ = listener.accept()
    with connection:
        connection.recv(4_096)
        connection.sendall(HEAD + b"part of the body")
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


async def end_of(reset):
    """Return how a request ends whose answer ends with its connection."""
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
            # Its bytes and its end arrive while this process is busy elsewhere.
            time.sleep(0.02)
        try:
            async with asyncio.timeout(5):
                return await done
        finally:
            client.close()


@pytest.mark.parametrize("loop_factory", [new_event_loop, asyncio.new_event_loop])
def test_answer_that_is_reset_on_its_way_is_not_complete(loop_factory):
    """A server crashes while it writes an answer without a length. Its last bytes and
    the reset arrive together, and libuv tells that as an orderly end: the caller gets
    the part of the body as if it were all of it.
    """
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(end_of(reset=True)) is Fault.RESET
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        assert runner.run(end_of(reset=False)).body == b"part of the body"
