"""How a stopping sidecar spends its time, on a paused clock."""

import asyncio

import pytest

from sassafraswinch_sidecar.planned_stop import QUIET_MS, finish_requests

DRAIN_MS = 6_000.0


async def stop(in_flight):
    """Stop; return when new requests were refused and when the process may end."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    refused_s = []
    await finish_requests(
        drain_ms=DRAIN_MS,
        in_flight=lambda: in_flight(loop.time() - began_s),
        refuse_new=lambda: refused_s.append(loop.time() - began_s),
    )
    return refused_s[0], loop.time() - began_s


@pytest.mark.looptime
@pytest.mark.parametrize("busy_s", [0.0, 2.0])
async def test_idle_process_serves_on_until_callers_have_gone_elsewhere(busy_s):
    """A host is stopped. The platform asks twice, a second apart, before it sends the
    callers elsewhere; until then refusals would meet each of them.
    """
    refused_s, ended_s = await stop(lambda spent_s: spent_s < busy_s)
    assert 3.0 < refused_s < 3.6
    assert refused_s <= ended_s < refused_s + QUIET_MS / 1000 + 0.2


@pytest.mark.looptime
async def test_process_ends_before_it_is_killed_whatever_is_in_flight():
    _, ended_s = await stop(lambda spent_s: True)
    assert 4.8 < ended_s < 5.4
