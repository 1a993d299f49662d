"""Tests of who is told of changes of the platform's data."""

import pytest

from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.platform_data import PlatformData
from sassafraswinch_sidecar.platform_reader import PLATFORM_SOURCE
from sassafraswinch_sidecar.replica import Delta, Entry
from sassafraswinch_sidecar.revisions import Revision
from sidecar_standins.fleet import ROUTES, MemoryDecoder

CHANGE = Delta(
    revision=Revision(0, 3),
    is_full=False,
    entries=(
        Entry(
            key=ROUTES, revision=Revision(0, 3), value=b'{"version": 1, "routes": []}'
        ),
    ),
)


@pytest.mark.parametrize(
    "source, told", [(PLATFORM_SOURCE, ["announce"]), ("peer-10.0.0.2", ["forward"])]
)
async def test_each_change_is_passed_on_once(source, told):
    """Guards against an aggregator that keeps a peer's change until its next round."""
    calls = []
    fleet = Fleet(decoder=MemoryDecoder(), report_error=calls.append)
    data = PlatformData(
        fleet=fleet,
        on_change=lambda: None,
        announce=lambda: calls.append("announce"),
        forward=lambda: calls.append("forward"),
    )
    data.apply_delta(CHANGE, source)
    data.apply_delta(CHANGE, source)
    assert calls == told
