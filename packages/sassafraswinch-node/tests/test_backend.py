"""Tests of BackendClient: calls are sent once and return only complete responses."""

import asyncio
import contextlib
import gc
import gzip
import socket

import pytest

from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node import backend
from sassafraswinch_node.backend import BackendResponse
from sassafraswinch_node.http_response import ResponseParser

TIMEOUT_S = 5
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_RUN = Verdict.NOT_RUN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


@pytest.fixture
async def client(server):
    client = backend.BackendClient(
        ip=server.address[0], port=server.address[1], max_connections=2
    )
    yield client
    await client.close()


async def call(client, method="POST", target="/orders/7", headers=(), body=b"x" * 9):
    return await client.call(method, target, headers, body, TIMEOUT_S * 1000)


async def failure(client, **arguments):
    with pytest.raises(backend.BackendError) as caught:
        await call(client, **arguments)
    return caught.value


@pytest.mark.parametrize("method", ["PUT", "GET", "DELETE", "POST"])
async def test_request_on_dropped_connection_is_not_retried(server, client, method):
    """A backend server closes a persistent connection after it has read a request.

    Whether the request was executed is unknown. A client that retries it, as
    aiosonic's does for methods like PUT, could approve an order twice.
    """
    server.replies = [OK, None, OK]
    await call(client, method)
    error = await failure(client, method=method)
    assert (error.verdict, error.reason) == (MAY_HAVE_RUN, Reason.BACKEND_BROKEN)
    assert len(server.requests) == 2


async def test_connection_closed_while_idle_is_not_reused(server, client):
    """A backend server closes an idle connection, as all do after some seconds.

    A request written to it would get no response and be reported as may-have-run
    although it never ran. The event loop may not have read the close yet.
    """
    server.replies = [OK] * 3
    await call(client)
    server.writers[0].get_extra_info("socket").shutdown(socket.SHUT_RDWR)
    await call(client)  # the event loop has not read the close yet
    server.writers[1].close()
    await asyncio.sleep(0.02)
    await call(client)
    assert (len(server.requests), server.connections) == (3, 3)


@pytest.mark.parametrize(
    ("method", "reply"),
    [
        ("GET", OK + OK.replace(b"ok", b"no")),
        ("GET", OK + b"HTTP/1.1 204 No Content\r\n\r\n"),
        ("HEAD", OK),
    ],
)
async def test_excess_bytes_never_reach_the_next_caller(server, client, method, reply):
    """A backend server sends more than the response to a request.

    Neither the excess bytes nor bytes that arrive while no request is pending may be
    returned to the next caller on that connection.
    """
    server.replies = [reply, OK, OK]
    await call(client, method)
    assert (await call(client)).body == b"ok"
    assert server.connections == 2
    server.writers[1].write(OK.replace(b"ok", b"no"))
    await asyncio.sleep(0.02)
    assert (await call(client)).body == b"ok"
    assert server.connections == 3


async def test_second_copy_of_a_shed_response_is_not_taken_for_the_next_calls(
    server, client
):
    """Guards against "not run" for a call that the backend server is running."""
    shed = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"
    server.replies = [shed]
    assert (await call(client)).status == 503
    calling = asyncio.create_task(call(client))
    while len(server.requests) < 2 and server.connections < 2:
        server.replies = [shed + OK]
        await asyncio.sleep(0)
    server.replies = [OK]
    assert (await calling).status == 200


@pytest.mark.parametrize(
    "reply",
    [OK, OK + b"more", OK[:-1] + b"<end>", b"no protocol\r\n\r\n", None, b""],
    ids=["answered", "excess", "cut off", "malformed", "reset", "timed out"],
)
async def test_ended_call_is_freed_without_the_garbage_collector(server, client, reply):
    """Guards against long bodies that wait for a collection by counts of objects."""
    held = (ResponseParser, BackendResponse)
    server.replies = [reply]
    gc.collect()
    gc.disable()
    try:
        with contextlib.suppress(backend.BackendError):
            await client.call("POST", "/orders/7", (), b"x" * 9, 100)
        await asyncio.sleep(0.02)
        left = [each for each in gc.get_objects() if isinstance(each, held)]
    finally:
        gc.enable()
    assert not left


async def test_cancelled_call_closes_its_connection(server, client):
    server.replies = [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", OK]
    calling = asyncio.create_task(call(client))
    while not server.requests:
        await asyncio.sleep(0.01)
    calling.cancel()
    await asyncio.wait_for(server.closed.wait(), TIMEOUT_S)
    assert (await call(client)).body == b"ok"


async def test_refused_connection_is_not_run(server, client):
    server.server.close()
    await server.server.wait_closed()
    error = await failure(client)
    assert (error.verdict, error.reason) == (NOT_RUN, Reason.BACKEND_UNREACHABLE)


async def test_connection_closed_on_accept_is_not_run():
    """A backend server at its connection limit closes new connections at once.

    Nothing of the request was written, so it certainly has not run.
    """
    closing = await asyncio.start_server(
        lambda reader, writer: writer.close(), "127.0.0.1", 0
    )
    ip, port = closing.sockets[0].getsockname()
    client = backend.BackendClient(ip=ip, port=port, max_connections=2)
    errors = [await failure(client) for _ in range(10)]
    verdicts = {(error.verdict, error.reason) for error in errors}
    assert verdicts == {(NOT_RUN, Reason.BACKEND_UNREACHABLE)}
    closing.close()


async def test_timeout_verdict_depends_on_whether_the_request_was_written(
    server, client
):
    server.replies = [b"", b""]
    waiting = [asyncio.create_task(call(client)) for _ in range(2)]
    while len(server.requests) < 2:
        await asyncio.sleep(0.01)
    with pytest.raises(backend.BackendError) as caught:
        await client.call("POST", "/", (), b"", 30)
    assert (caught.value.verdict, caught.value.reason) == (NOT_RUN, Reason.DEADLINE)
    for task in waiting:
        task.cancel()
    server.replies = [b""]
    with pytest.raises(backend.BackendError) as caught:
        await client.call("POST", "/", (), b"", 30)
    assert caught.value.verdict is MAY_HAVE_RUN


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nX-A: 1\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-A",
        b"HTTP/1.1 204 No Content\r\nX-A: 1\r\n",
        b"HTTP/1.0 200 OK\r\nX-A: 1\r\n",
        b"HTTP/1",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r\nTransfer-Enc",
        CHUNKED + b"2\r\nok\r\n",
        CHUNKED + b"2\r\nok\r\n0\r\n",
        CHUNKED + b"x\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"SSH-2.0\r\n",
    ],
)
@pytest.mark.parametrize("ending", [b"<end>", b"<reset>"])
async def test_incomplete_response_may_have_run(server, client, reply, ending):
    server.replies = [reply + ending]
    error = await failure(client)
    assert (error.verdict, error.reason) == (MAY_HAVE_RUN, Reason.BACKEND_BROKEN)


@pytest.mark.parametrize("head", [b"HTTP/1.0 200 OK\r\n", b"HTTP/1.1 200 OK\r\n"])
async def test_reset_response_without_length_may_have_run(server, client, head):
    """Guards against a success with a short body: only an orderly end completes it."""
    server.replies = [head + b"Connection: close\r\n\r\nok<reset>"]
    error = await failure(client)
    assert (error.verdict, error.reason) == (MAY_HAVE_RUN, Reason.BACKEND_BROKEN)


@pytest.mark.parametrize(
    ("method", "reply", "status", "body"),
    [
        ("GET", CHUNKED + b"2;a=b\r\nok\r\n0\r\nX-T: 1\r\n\r\n", 200, b"ok"),
        ("GET", b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200, b"ok"),
        ("GET", b"HTTP/1.0 200 OK\r\n\r\nok<end>", 200, b"ok"),
        ("GET", b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok<end>", 200, b"ok"),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 200, b""),
        ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304, b""),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
    ],
)
async def test_complete_responses_of_each_form(
    server, client, method, reply, status, body
):
    server.replies = [reply, OK]
    response = await call(client, method)
    assert (response.status, response.body) == (status, body)
    assert (await call(client)).body == b"ok"


async def test_response_is_forwarded_unchanged(server, client):
    body = gzip.compress(b"whole" * 100)
    head = (
        b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nContent-Encoding: gzip\r\n"
        b"X-Name: caf\xe9\r\nSet-Cookie: b=2\r\nConnection: keep-alive, x-hop\r\n"
        b"X-Hop: 1\r\nContent-Length: %d\r\n\r\n" % len(body)
    )
    server.replies = [head + body, OK]
    response = await call(client)
    assert response.body == body
    assert response.headers == (
        ("set-cookie", "a=1"),
        ("content-encoding", "gzip"),
        ("x-name", "caf\xe9"),
        ("set-cookie", "b=2"),
        ("content-length", str(len(body))),
    )
    await call(client)
    assert b"cookie" not in server.requests[1].lower()


async def test_request_is_forwarded_unchanged(server, client):
    server.replies = [OK]
    headers = (("x-a", "1"), ("cookie", "c=\xe9"), ("x-a", "2"), ("te", "trailers"))
    await call(client, "GET", "/a%20b?q=1", headers, b"body of a GET")
    address = "{}:{}".format(*server.address)
    assert server.requests[0].decode("latin-1") == (
        f"GET /a%20b?q=1 HTTP/1.1\r\nhost: {address}\r\nx-a: 1\r\ncookie: c=\xe9\r\n"
        "x-a: 2\r\ncontent-length: 13\r\n\r\nbody of a GET"
    )


@pytest.mark.parametrize(
    "arguments",
    [
        {"target": "/a HTTP/1.1\r\nx: y"},
        {"target": "/a b"},
        {"method": "GET /x"},
        {"headers": (("x-a", "1\r\nx-b: 2"),)},
        {"headers": (("x-a", "1\n2"),)},
        {"headers": (("x a", "1"),)},
        {"headers": (("x-a", "\u20ac"),)},
    ],
)
async def test_request_with_invalid_characters_is_not_run(client, arguments):
    error = await failure(client, **arguments)
    assert (error.verdict, error.reason) == (NOT_RUN, Reason.BAD_REQUEST)


async def test_longest_response_is_read_and_a_longer_one_refused(server, client):
    for size in (backend.MAX_RESPONSE_BYTES, backend.MAX_RESPONSE_BYTES + 1):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        server.replies.append(head + bytes(size))
    assert len((await call(client)).body) == backend.MAX_RESPONSE_BYTES
    assert (await failure(client)).reason is Reason.TOO_LARGE


async def test_connection_with_an_unfinished_request_is_not_reused(server, client):
    """A backend server responds before it has read the body, and may then close.

    A second request on that connection could fail without it being known whether it
    was executed.
    """
    server.reads_bodies = False
    server.replies = [OK, OK]
    assert (await call(client, body=bytes(2**23))).body == b"ok"
    assert (await call(client, body=b"")).body == b"ok"
    assert server.connections == 2


async def test_many_calls_share_few_connections(server, client):
    server.replies = [OK] * 1200
    responses = await asyncio.gather(*[call(client) for _ in range(1200)])
    assert {response.body for response in responses} == {b"ok"}
    assert (len(server.requests), server.connections) == (1200, 2)
