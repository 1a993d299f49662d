"""Tests of the socket options of connections accepted by HTTP listeners."""

import asyncio
import socket

from sassafraswinch_node.listeners import HttpListener
from sassafraswinch_node.settings import Address


class RecordingApp:
    """ASGI application that records the TCP_NODELAY option of its connection."""

    def __init__(self):
        self.no_delay = None

    async def __call__(self, scope, receive, send):
        transport = receive.__self__.transport
        connection = transport.get_extra_info("socket")
        self.no_delay = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"whole"})


async def test_accepted_connections_have_tcp_nodelay():
    """A response through a node takes 44 ms longer than a direct call.

    Head and body of a response are two writes. With a listening socket of protocol 0,
    asyncio doesn't set TCP_NODELAY, which it does only for protocol TCP. The body then
    waits for the acknowledgement of the head, which the peer delays by 40 ms.
    """
    app = RecordingApp()
    listener = HttpListener(app=app, address=Address(ip="127.0.0.1", port=0))
    await listener.start()
    address = listener.address
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(b"GET / HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n")
    response = await reader.read()
    writer.close()
    await listener.stop()
    assert b"whole" in response
    assert app.no_delay == 1
