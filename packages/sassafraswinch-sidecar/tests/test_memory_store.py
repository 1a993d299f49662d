"""Tests of the in-memory store that the tests of sidecars use."""

import asyncio
import time

import pytest

from sidecar_standins.store import MemoryStore

WAIT_MS = 5
LATE_S = 0.006


@pytest.mark.parametrize("turns", range(4))
async def test_change_made_while_a_watch_times_out_is_in_its_answer(turns):
    """Guards against a watch that skips a change, so that no sidecar learns of it."""
    store = MemoryStore()
    await store.put("a", {})
    watching = asyncio.create_task(store.watch(store.revision, WAIT_MS))
    await asyncio.sleep(0)
    time.sleep(LATE_S)  # The loop is late: the time-out is due when it goes on.
    for _ in range(turns):
        await asyncio.sleep(0)
    await store.put("b", {})
    delta = await watching
    is_known = [entry.key for entry in delta.entries] == ["b"]
    assert is_known == (delta.revision == store.revision)
