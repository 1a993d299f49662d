"""Calls to the platform's store, against a small one that speaks its protocol."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

import pytest

from sassafraswinch_platform import store as store_module
from sassafraswinch_platform.store import UNREADABLE, WATCH_ANSWER_S, ReadOnlyStore
from sassafraswinch_sidecar.platform_reader import (
    WATCH_MS,
    HistoryGoneError,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.revisions import Revision


def item(key, rev, value=b"{}"):
    coded = base64.b64encode(value).decode()
    return {"key": key, "value": coded, "rev": rev, "created_rev": rev, "lease": 0}


class StandInStore:
    """Answers each path with what a test puts there."""

    def __init__(self):
        self.answers = {}
        self.era = None
        self.before_answer = None
        self.connections = 0
        self.asked = []

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        while line := await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            target = urlsplit(line.split()[1].decode())
            query = {name: values[0] for name, values in parse_qs(target.query).items()}
            self.asked.append((target.path, query))
            if self.before_answer is not None:
                await self.before_answer()
            status, body = self.answers[target.path](query)
            if status is None:
                writer.close()
                return
            payload = json.dumps(body).encode()
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


async def test_reading_follows_the_pages_and_takes_the_first_revision(standin, store):
    """A server leaves between two pages. The watch that follows must begin before
    it, or nobody ever hears of it.
    """
    routes = item("op/config", 2, b'{"version": "01"}')
    first = [routes, item("servers/a", 3)]
    pages = {
        None: {"items": first, "has_more": True, "at_rev": 5},
        "servers/a": {"items": [item("servers/b", 4)], "has_more": False, "at_rev": 9},
    }
    standin.answers["/v1/kv-range"] = lambda query: (200, pages[query.get("after")])
    delta = await store.read()
    assert (delta.revision, delta.whole) == (Revision(0, 5), True)
    assert [entry.key for entry in delta.entries] == [
        "op/config",
        "servers/a",
        "servers/b",
    ]
    assert [path for path, _ in standin.asked] == ["/v1/kv-range"] * 2
    assert delta.entries[0].value == b'{"version": "01"}'


async def test_store_without_routes_yet_is_read(standin, store):
    empty = {"items": [], "has_more": False, "at_rev": 1}
    standin.answers["/v1/kv-range"] = lambda query: (200, empty)
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    assert (await store.read()).entries == ()


async def test_watch_tells_changes_and_removals_of_what_matters(standin, store):
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
    assert (delta.revision, delta.whole) == (Revision(0, 8), False)
    assert [(e.key, e.value) for e in delta.entries] == [
        ("servers/a", b"{}"),
        ("servers/b", None),
    ]
    assert standin.asked == [
        ("/v1/kv-watch", {"after": "5", "wait_ms": "1000"}),
    ]


async def test_lost_history_and_outages_are_told_apart(standin, store):
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
        "no object",
        "no revision",
        "events that aren't a list",
        "no events",
        "revision that isn't a number",
    ],
)
async def test_answer_of_another_shape_is_an_outage_not_an_end(standin, store, answer):
    """The store answers something else for once. Whoever follows it must go on."""
    standin.answers["/v1/kv-watch"] = lambda query: (200, answer)
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 1_000)


async def test_one_unreadable_item_costs_that_item_only(standin, store):
    """Another writer puts a value that isn't base64, or no text at all, beside the
    servers. If the page counted as unreadable, the platform would be away for good.
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


async def test_next_page_begins_after_the_last_item_that_has_a_key(standin, store):
    pages = {
        None: {"items": [item("servers/a", 3), {"rev": 4}], "has_more": True}
        | {"at_rev": 5},
        "servers/a": {"items": [item("servers/b", 4)], "has_more": False, "at_rev": 9},
    }
    standin.answers["/v1/kv-range"] = lambda query: (200, pages[query.get("after")])
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    delta = await store.read()
    assert [entry.key for entry in delta.entries] == ["servers/a", "servers/b"]


async def test_store_tells_whether_it_lists_a_server(standin, store):
    standin.answers["/v1/kv-key"] = lambda query: (
        (200, item("servers/a", 3)) if query["key"] == "servers/a" else (404, {})
    )
    assert await store.lists("a")
    assert not await store.lists("b")


@pytest.mark.parametrize(
    ("status", "answered"), [(503, True), (429, True), (None, False)]
)
async def test_refusal_of_the_store_is_an_answer(standin, store, status, answered):
    standin.answers["/v1/kv-key"] = lambda query: (status, {})
    with pytest.raises(PlatformUnavailableError) as caught:
        await store.lists("a")
    assert caught.value.answered is answered


async def test_era_of_each_answer_goes_before_its_revision(standin, store):
    """Guards against revisions of a restored store that pass for older ones."""
    standin.era = 3
    standin.answers["/v1/kv-watch"] = lambda query: (
        200,
        {"events": [item("servers/a", 6)], "at_rev": 8},
    )
    delta = await store.watch(Revision(3, 5), 1_000)
    assert delta.revision == Revision(3, 8)
    assert delta.entries[0].revision == Revision(3, 6)
    assert standin.asked[-1][1]["after"] == "5"


@pytest.mark.parametrize("status", [404, 410, 429, 503])
async def test_refusals_tell_the_era_too(standin, store, status):
    """Guards against a new era that is unknown until the next good answer."""
    standin.era = 2
    standin.answers["/v1/kv-key"] = lambda query: (status, {})
    with contextlib.suppress(HistoryGoneError, PlatformUnavailableError):
        await store.lists("a")
    assert store.era == 2


async def test_odd_era_of_one_answer_is_forgotten_with_the_next(standin, store):
    """Guards against a store that is read whole for ever, as its era seems ahead."""
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    for era in (2, 900, 2):
        standin.era = era
        await store.lists("a")
    assert store.era == 2


async def test_pages_of_two_eras_are_read_anew(standin, store):
    """Guards against a reading that mixes what the store held before and after."""

    def page(query):
        standin.era = 1 + ("after" in query)
        return 200, {"items": [item("servers/a", 3)], "has_more": True, "at_rev": 5}

    standin.answers["/v1/kv-range"] = page
    with pytest.raises(HistoryGoneError):
        await store.read()


async def test_era_that_is_no_number_is_an_outage_not_an_end(standin, store):
    """Guards against a foreign value that ends whoever follows the store."""
    standin.era = "odd"
    standin.answers["/v1/kv-watch"] = lambda query: (200, {"events": [], "at_rev": 8})
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 1_000)


STABLE_WINDOW_S = 3.0
"""Time after which a host must follow changes again, though its connections fell
silent."""

TAKE_OVER_S = 0.4
"""Time in which the next host of the zone steps in, and tells the others."""


def test_silent_watch_is_given_up_before_changes_are_due():
    """Guards against a zone that relies on a host whose watch nobody answers."""
    assert WATCH_MS / 1000 + WATCH_ANSWER_S + TAKE_OVER_S <= STABLE_WINDOW_S


async def test_silent_connections_are_not_used_again(standin, store, monkeypatch):
    """Guards against one lost answer after the other, each on an old connection."""
    monkeypatch.setattr(store_module, "WATCH_RESPONSE_TIMEOUT_S", 0.05)
    standin.answers["/v1/kv-key"] = lambda query: (404, {})
    standin.answers["/v1/kv-watch"] = lambda query: (200, {"events": [], "at_rev": 8})
    await asyncio.gather(store.lists("a"), store.lists("b"))
    silent = asyncio.Event()
    standin.before_answer = silent.wait
    with pytest.raises(PlatformUnavailableError):
        await store.watch(Revision(0, 5), 50)
    known = standin.connections
    standin.before_answer = None
    assert (await store.watch(Revision(0, 5), 50)).revision == Revision(0, 8)
    assert standin.connections == known + 1
    silent.set()
