"""Tests of responses for which their link has no room."""

import pytest

from sassafraswinch_sidecar import peer_link
from sassafraswinch_sidecar.relay_protocol.ttypes import Verdict
from sassafraswinch_sidecar.response_sender import LINK_FULL
from sidecar_standins.backend import answer
from sidecar_standins.fleet import running_fleet

REQUEST = {"target": "/approve/1", "method": "POST", "body": b"x"}


@pytest.fixture
async def fleet():
    async with running_fleet("schvaleni", "archiv") as fleet:
        yield fleet


async def test_owner_learns_at_once_that_a_response_had_no_room(
    fleet, monkeypatch, log_stream
):
    """Guards against requests that wait for their time limit after they have run."""
    executing, front = fleet.nodes

    def fill_link_and_answer(connection, seen):
        monkeypatch.setattr(peer_link, "MAX_UNSENT_BYTES", -1)
        connection.transport.write(answer(seen))

    executing.backend.behaviour = fill_link_and_answer
    got = await fleet.call(front, **REQUEST, time_left_ms=60_000)
    assert got.status == 502
    assert executing.sidecar._responses.dropped_responses == 1
    assert f"reason={LINK_FULL}" in log_stream.getvalue()


async def test_refusal_without_room_still_states_that_nothing_ran(fleet, monkeypatch):
    executing, front = fleet.nodes
    verdicts = []
    handle = front.sidecar._owner.handle_response

    def record(response, load):
        verdicts.append(response.verdict)
        monkeypatch.undo()
        handle(response, load)

    def fill_link_and_reject(connection, seen):
        monkeypatch.setattr(peer_link, "MAX_UNSENT_BYTES", -1)
        fields = b"X-Not-Run: 1\r\n"
        rejection = answer(seen, status=503, fields=fields, signed=False)
        connection.transport.write(rejection)

    executing.backend.behaviour = fill_link_and_reject
    front.sidecar._owner.handle_response = record
    got = await fleet.call(front, **REQUEST)
    assert (got.status, verdicts[0]) == (503, Verdict.NOT_RUN)
