"""Tests of the response parser: answers without end."""

import itertools

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch_node.framing_budget import FEED_BYTES, MAX_FRAMING_BYTES
from sassafraswinch_node.http_response import ResponseError, ResponseParser

MAX_BODY_BYTES = 1_000_000
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 100),
    "field": (HEAD + b"X-Long: ", b"x" * 100),
    "fields": (HEAD, b"X-More: yes\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "line ends": (b"", b"\r\n"),
    "chunk extension": (CHUNKED + b"5;e=", b"x" * 100),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "fields after the last chunk": (CHUNKED + b"0\r\n", b"X-More: yes\r\n"),
}


def new_parser():
    return ResponseParser(method="GET", max_body_bytes=MAX_BODY_BYTES)


@pytest.mark.parametrize("read_bytes", [100, 256 * 1024])
@pytest.mark.parametrize("kind", ENDLESS.values(), ids=ENDLESS)
def test_endless_framing_is_an_error(kind, read_bytes):
    """Guards against a call that holds memory until its deadline for what is no answer.

    The length of a read is what arrives in one turn of the event loop.
    """
    first, more = kind
    parser = new_parser()
    read = more * (read_bytes // len(more) + 1)
    fed_bytes = 0
    with pytest.raises(ResponseError):
        for data in itertools.chain([first], itertools.repeat(read)):
            fed_bytes += len(data)
            parser.feed(data)
    limit_bytes = MAX_FRAMING_BYTES * 17 / 16 + FEED_BYTES
    assert parser._budget.received_bytes <= limit_bytes
    assert fed_bytes <= limit_bytes + len(read)


def test_long_body_in_usual_chunks_is_accepted():
    parser = new_parser()
    parser.feed(CHUNKED)
    for _ in range(MAX_BODY_BYTES // 256):
        parser.feed(b"100\r\n" + b"x" * 256 + b"\r\n")
    parser.feed(b"0\r\n\r\n")
    assert len(parser.response.body) == MAX_BODY_BYTES // 256 * 256


@settings(derandomize=True, deadline=None, max_examples=200)
@given(data=st.binary(max_size=300), cut=st.integers(0, 300))
def test_any_bytes_are_an_answer_or_an_error(data, cut):
    """Guards against bytes that raise anything else."""
    parser = new_parser()
    try:
        for part in (HEAD + data[:cut], data[cut:]):
            if parser.response is None:
                parser.feed(part)
    except ResponseError:
        assert parser.response is None
