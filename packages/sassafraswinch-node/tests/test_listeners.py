"""HTTP listeners: what connections they accept are set to."""

import asyncio
import socket

from sassafraswinch_node.listeners import HttpListener
from sassafraswinch_node.settings import Address


class RecordingApp:
    """Answers every request and keeps its transport's socket options."""

    def __init__(self):
        self.no_delay = None

    async def __call__(self, scope, receive, send):
        transport = receive.__self__.transport
        connection = transport.get_extra_info("socket")
        self.no_delay = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"whole"})


async def test_accepted_connections_send_without_delay():
    """Every answer over a node took 44 ms more than the direct call.

    Head and body of an answer are two writes. The listening socket was made with
    protocol 0, and asyncio sets TCP_NODELAY only where the protocol is TCP. So the
    body waited for the acknowledgement of the head, which the peer delays by 40 ms.
    """
    app = RecordingApp()
    listener = HttpListener(app=app, address=Address(ip="127.0.0.1", port=0))
    await listener.start()
    address = listener.address
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(b"GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")
    answer = await reader.read()
    writer.close()
    await listener.stop()
    assert b"whole" in answer
    assert app.no_delay == 1
