"""Tests of the bound on what is read from one connection in one turn."""

import asyncio

from sassafraswinch_sidecar.read_turns import (
    LONG_READ_BYTES,
    MAX_TURN_BYTES,
    ReadTurns,
)


class Transport:
    """Transport that records whether it is paused."""

    def __init__(self):
        self.is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def is_closing(self):
        return False


async def test_connection_that_brings_much_pauses_for_a_turn():
    """Guards against a long body that holds up all other connections."""
    transport, turns = Transport(), ReadTurns()
    for _ in range(MAX_TURN_BYTES // LONG_READ_BYTES):
        assert not transport.is_paused
        turns.record(transport, LONG_READ_BYTES)
    assert transport.is_paused
    await asyncio.sleep(0)
    assert not transport.is_paused


async def test_short_reads_never_pause():
    transport, turns = Transport(), ReadTurns()
    for _ in range(10 * MAX_TURN_BYTES // LONG_READ_BYTES):
        turns.record(transport, LONG_READ_BYTES - 1)
    assert not transport.is_paused


async def test_connection_stays_paused_for_another_reason():
    transport, turns = Transport(), ReadTurns()
    turns.record(transport, MAX_TURN_BYTES, lambda: False)
    await asyncio.sleep(0)
    assert transport.is_paused
