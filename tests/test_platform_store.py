"""Tests of the store client against a stand-in that implements the store's protocol."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

import pytest

from sassafraswinch_platform import store as store_module
from sassafraswinch_platform.store import (
    UNREADABLE,
    WATCH_RESPONSE_TIMEOUT_S,
    ReadOnlyStore,
)
from sassafraswinch_sidecar.message_codec import (
    parse_delta,
    serialize_delta,
    serialize_message,
)
from sassafraswinch_sidecar.platform_reader import (
    WATCH_TIMEOUT_MS,
    HistoryGoneError,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.revisions import Revision


def item(key, rev, value=b"{}"):
    coded = base64.b64encode(value).decode()
    return {"key": key, "value": coded, "rev": rev, "created_rev": rev, "lease": 0}


class StandInStore:
    """Responds to each path with the answer that a test configures.

    Attributes:
        answers: by path, a function from the query to the status and the body, which is
            sent as JSON unless it is bytes; without a status the connection is closed.
        era: value of the era's header field; None to omit the field.
        before_answer: awaited before each response, if set.
        connections: number of accepted connections.
        requests: path and query of each request.
    """

    def __init__(self):
        self.answers = {}
        self.era = None
        self.before_answer = None
        self.connections = 0
        self.requests = []

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        while line := await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            target = urlsplit(line.split()[1].decode())
            query = {name: values[0] for name, values in parse_qs(target.query).items()}
            self.requests.append((target.path, query))
            if self.before_answer is not None:
                await self.before_answer()
            status, body = self.answers[target.path](query)
            if status is None:
                writer.close()
                return
            is_raw = isinstance(body, bytes)
            payload = body if is_raw else json.dumps(body).encode()
            era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%b"
                b"Content-Length: %d\r\n\r\n%b"
                % (status, era.encode(), len(payload), payload)
            )


@pytest.fixture
async def standin():
    store = StandInStore()
    store.port = await store.open()
    yield store
    store.server.close()


@pytest.fixture
async def store(standin):
    return ReadOnlyStore(ip="127.0.0.1", port=standin.port)


async def test_read_fetches_all_pages_and_returns_the_first_revision(standin, store):
    """A server's registration is removed between two pages. The watch that follows must
    begin before the removal, otherwise the removal is never reported.
    """
    routes = item("op/config", 2, b'{"version": "01"}')
    first = [routes, item("servers/a", 3)]
    pages = {
        None: {"items": first, "has_more": True, "at_rev": 5},
        "servers/a": {"items": [item("servers/b", 4)], "has_more": False, "at_rev": 9},
    }
    standin.answers["/v1/kv-range"] = lambda query: (200, pages[query.get("after")])
    delta = await store.read()
    assert (delta.revision, delta.is_full) == (Revision(0, 5), True)
    assert [entry.key for entry in delta.entries] == [
        "op/config",
        "servers/a",
        "servers/b",
    ]
    assert [path for path, _ in standin.requests] == ["/v1/kv-range"] * 2
    assert delta.entries[0].value == b'{"version": "01"}'


async def test_empty_store_is_read(standin, store):
    empty = {"items": [], "has_more": False, "at_rev": 1}
    standin.answers["/v1/kv-range"] = lambda query: (200, empty)
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    assert (await store.read()).entries == ()


async def test_watch_returns_changes_and_removals_of_relevant_keys(standin, store):
    events = [
        item("servers/a", 6),
        {"key": "servers/b", "rev": 7, "compacted": True},
        item("else/c", 8),
    ]
    standin.answers["/v1/kv-watch"] = lambda query: (
        200,
        {"events": events, "at_rev": 8},
    )
    delta = await store.watch(Revision(0, 5), 1_000)
    assert (delta.revision, delta.is_full) == (Revision(0, 8), False)
    assert [(e.key, e.value) for e in delta.entries] == [
        ("servers/a", b"{}"),
        ("servers/b", None),
    ]
    assert standin.requests == [
        ("/v1/kv-watch", {"after": "5", "wait_ms": "1000"}),
    ]


async def test_lost_history_and_outages_are_distinguished(standin, store):
    standin.answers["/v1/kv-watch"] = lambda query: (410, {})
    with pytest.raises(HistoryGoneError):
        await store.watch(Revision(0, 5), 1_000)
    for status in (429, 503, None):
        standin.answers["/v1/kv-watch"] = lambda query, status=status: (status, {})
        with pytest.raises(PlatformUnavailableError):
            await store.watch(Revision(0, 5), 1_000)


@pytest.mark.parametrize(
    "answer",
    [
        [],
        {"events": []},
        {"events": 5, "at_rev": 2},
        {"at_rev": 3},
        {"events": [], "at_rev": "4"},
    ],
    ids=[
        "not an object",
        "no revision",
        "events that aren't a list",
        "no events",
        "revision that isn't a number",
    ],
)
async def test_malformed_response_is_reported_as_an_outage(standin, store, answer):
    """An unexpected exception would end the task that follows the store."""
    standin.answers["/v1/kv-watch"] = lambda query: (200, answer)
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 1_000)


async def test_malformed_item_affects_that_item_only(standin, store):
    """Another writer stores a value that isn't base64, or isn't a string, next to the
    server registrations. If the whole page were rejected, the platform would seem to
    be unavailable until the item is removed.
    """
    odd = [
        item("servers/a", 6) | {"value": "%%%"},
        item("servers/b", 7) | {"value": 5},
        {"key": "servers/c", "rev": 8},
        {"key": 9, "rev": 9},
        {"rev": 1},
        {"key": "servers/d", "rev": "10"},
        "text",
        None,
        item("servers/e", 11, b"good"),
    ]
    standin.answers["/v1/kv-watch"] = lambda query: (
        200,
        {"events": odd, "at_rev": 12},
    )
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    standin.answers["/v1/kv-range"] = lambda query: (
        200,
        {"items": odd, "has_more": False, "at_rev": 12},
    )
    for delta in (await store.watch(Revision(0, 5), 1_000), await store.read()):
        assert delta.revision == Revision(0, 12)
        assert [(entry.key, entry.value) for entry in delta.entries] == [
            ("servers/a", UNREADABLE),
            ("servers/b", UNREADABLE),
            ("servers/c", UNREADABLE),
            ("servers/e", b"good"),
        ]


async def test_next_page_begins_after_the_last_item_with_a_key(standin, store):
    pages = {
        None: {"items": [item("servers/a", 3), {"rev": 4}], "has_more": True}
        | {"at_rev": 5},
        "servers/a": {"items": [item("servers/b", 4)], "has_more": False, "at_rev": 9},
    }
    standin.answers["/v1/kv-range"] = lambda query: (200, pages[query.get("after")])
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    delta = await store.read()
    assert [entry.key for entry in delta.entries] == ["servers/a", "servers/b"]


async def test_lists_reports_whether_a_server_is_registered(standin, store):
    standin.answers["/v1/kv-key"] = lambda query: (
        (200, item("servers/a", 3)) if query["key"] == "servers/a" else (404, {})
    )
    assert await store.has_instance("a")
    assert not await store.has_instance("b")


@pytest.mark.parametrize(
    ("status", "answered"), [(503, True), (429, True), (None, False)]
)
async def test_error_status_counts_as_an_answer(standin, store, status, answered):
    standin.answers["/v1/kv-key"] = lambda query: (status, {})
    with pytest.raises(PlatformUnavailableError) as caught:
        await store.has_instance("a")
    assert caught.value.answered is answered


async def test_revisions_are_ordered_by_era_first(standin, store):
    """After a restore the store's revision numbers start lower. Without the era, new
    revisions would be taken for older ones.
    """
    standin.era = 3
    standin.answers["/v1/kv-watch"] = lambda query: (
        200,
        {"events": [item("servers/a", 6)], "at_rev": 8},
    )
    delta = await store.watch(Revision(3, 5), 1_000)
    assert delta.revision == Revision(3, 8)
    assert delta.entries[0].revision == Revision(3, 6)
    assert standin.requests[-1][1]["after"] == "5"


@pytest.mark.parametrize("status", [404, 410, 429, 503])
async def test_error_responses_report_the_era(standin, store, status):
    """Otherwise a new era would stay unknown until the next successful response."""
    standin.era = 2
    standin.answers["/v1/kv-key"] = lambda query: (status, {})
    with contextlib.suppress(HistoryGoneError, PlatformUnavailableError):
        await store.has_instance("a")
    assert store.era == 2


async def test_outlier_era_is_replaced_by_the_next_response(standin, store):
    """If one wrong, high era were kept, the store would seem to be ahead of the replica
    and would be read in full again and again.
    """
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    for era in (2, 900, 2):
        standin.era = era
        await store.has_instance("a")
    assert store.era == 2


async def test_pages_of_two_eras_are_not_combined(standin, store):
    """The store is restored between two pages. Combining them would mix its contents
    from before and after the restore.
    """

    def page(query):
        standin.era = 1 + ("after" in query)
        return 200, {"items": [item("servers/a", 3)], "has_more": True, "at_rev": 5}

    standin.answers["/v1/kv-range"] = page
    with pytest.raises(HistoryGoneError):
        await store.read()


async def test_non_numeric_era_is_reported_as_an_outage(standin, store):
    """An unexpected exception would end the task that follows the store."""
    standin.era = "odd"
    standin.answers["/v1/kv-watch"] = lambda query: (200, {"events": [], "at_rev": 8})
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 1_000)


DEEP = b"[" * 5_000 + b"]" * 5_000

ODD_ITEMS = {
    "lone surrogate": rb'{"key": "servers/\ud800", "value": "e30=", "rev": 3}',
    "long key": b'{"key": "servers/%b", "value": "e30=", "rev": 3}' % (b"i" * 200),
    "negative revision": b'{"key": "servers/i", "value": "e30=", "rev": -3}',
    "later revision": b'{"key": "servers/i", "value": "e30=", "rev": 13}',
    "65 bits": b'{"key": "servers/i", "value": "e30=", "rev": %d}' % (2**64),
    "400 digits": b'{"key": "servers/i", "value": "e30=", "rev": %b}' % (b"9" * 400),
    "5000 digits": b'{"key": "servers/i", "value": "e30=", "rev": %b}' % (b"9" * 5_000),
    "nested": b'{"key": "servers/i", "value": "e30=", "rev": 3, "odd": %b}' % DEEP,
    "nested key": b'{"key": %b, "value": "e30=", "rev": 3}' % DEEP,
    "nested list": DEEP,
    "bracket in text": b'{"key": "servers/]}", "value": "%b", "rev": 99}' % (b"[" * 9),
}


@pytest.mark.parametrize("odd", ODD_ITEMS.values(), ids=ODD_ITEMS.keys())
async def test_odd_item_of_another_writer_affects_that_item_only(standin, store, odd):
    """Guards against a store that seems to be away, and messages to peers that can't be
    serialized, for as long as another writer's item is there.
    """
    good = json.dumps(item("servers/good", 11)).encode()
    fields = b'"%b": [%b, %b], "has_more": false, "at_rev": 12'
    page = b"{" + fields % (b"items", odd, good) + b"}"
    events = b"{" + fields % (b"events", good, odd) + b"}"
    standin.answers["/v1/kv-range"] = lambda query: (200, page)
    standin.answers["/v1/kv-watch"] = lambda query: (200, events)
    for delta in (await store.read(), await store.watch(Revision(0, 5), 1_000)):
        assert [entry.key for entry in delta.entries] == ["servers/good"]
        assert parse_delta(serialize_delta(delta)) == delta
        serialize_message(serialize_delta(delta))


@pytest.mark.parametrize("revision", [-1, 2**63, 10**400])
async def test_revision_out_of_range_is_reported_as_an_outage(standin, store, revision):
    """Guards against a position that no message to peers can hold."""
    answer = {"events": [], "at_rev": revision}
    standin.answers["/v1/kv-watch"] = lambda query: (200, answer)
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 1_000)


@pytest.mark.parametrize("era", ["-1", "1_0", str(2**63), "9" * 5_000])
async def test_era_out_of_range_is_reported_as_an_outage(standin, store, era):
    """Guards against a position that no message to peers can hold."""
    standin.era = era
    standin.answers["/v1/kv-watch"] = lambda query: (200, {"events": [], "at_rev": 8})
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 1_000)


async def test_page_that_repeats_is_reported_as_an_outage(standin, store):
    """Guards against a read that never ends."""
    page = {"items": [item("servers/a", 3)], "has_more": True, "at_rev": 5}
    standin.answers["/v1/kv-range"] = lambda query: (200, page)
    with pytest.raises(PlatformUnavailableError):
        async with asyncio.timeout(5):
            await store.read()


RECOVERY_LIMIT_S = 3.0
"""Time limit for a host to follow changes again after its connections stopped
responding."""

TAKE_OVER_S = 0.4
"""Time for the next host of the zone to take over and publish changes to the others."""


def test_silent_watch_times_out_before_changes_are_due():
    """A zone relies on one host to follow the platform. If that host's watch gets no
    response, another host must have taken over within the limit.
    """
    assert (
        WATCH_TIMEOUT_MS / 1000 + WATCH_RESPONSE_TIMEOUT_S + TAKE_OVER_S
        <= RECOVERY_LIMIT_S
    )


async def test_unresponsive_connections_are_not_reused(standin, store, monkeypatch):
    """If idle connections were kept after a timeout, each of the next calls could time
    out on one of them.
    """
    monkeypatch.setattr(store_module, "WATCH_RESPONSE_TIMEOUT_S", 0.05)
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    standin.answers["/v1/kv-watch"] = lambda query: (200, {"events": [], "at_rev": 8})
    await asyncio.gather(store.has_instance("a"), store.has_instance("b"))
    release = asyncio.Event()
    standin.before_answer = release.wait
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 50)
    connections_before = standin.connections
    standin.before_answer = None
    assert (await store.watch(Revision(0, 5), 50)).revision == Revision(0, 8)
    assert standin.connections == connections_before + 1
    release.set()
