"""Tests of the call owner, with fake ports."""

import random

from sassafraswinch.membership import Membership
from sassafraswinch.messages import NodeId, Rank
from sassafraswinch.owner import OwnedCall, Owner
from sassafraswinch.retry import RetryAllowance
from sassafraswinch.routing import Router
from sassafraswinch.verdict import Reason, Verdict


class NoLinks:
    """Link port of a node without links."""

    def send(self, host, message):
        return None


def make_call(service):
    return OwnedCall(
        service=service,
        operation="lookup",
        repeatable=True,
        rank=Rank(0, 0),
        root_id="1" * 32,
        depth=0,
        progress=0,
        deadline_at_ms=1_000.0,
        begun_at_ms=0.0,
        allowance=RetryAllowance(granted=3),
        method="GET",
        target="/",
        headers=(),
        body=b"",
    )


def test_call_to_a_service_without_links_requests_them():
    """Guard against calls that are always refused with no-host in a large fleet.

    Above 24 hosts, such as in a fleet of 100, a node links only to the services that
    it calls. If calls aren't reported to the link plan, the links are never dialled.
    The first call may be refused; the next one finds links.
    """
    called = []
    owner = Owner(
        node=NodeId("host-0", 1),
        links=NoLinks(),
        membership=Membership(self_host="host-0"),
        router=Router(availability_zone="zone-0", rng=random.Random(1)),
        service_called=called.append,
    )
    owner.begin(make_call("archiv"), 0.0)
    (finished,) = owner.take_finished()
    assert called == ["archiv"]
    assert finished.answer.verdict is Verdict.NOT_RUN
    assert finished.answer.reason is Reason.NO_HOST
