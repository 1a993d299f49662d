"""The owning side of a node, with fakes at its ports."""

import random

from sassafraswinch.membership import Membership
from sassafraswinch.messages import NodeId, Rank
from sassafraswinch.owner import OwnedCall, Owner
from sassafraswinch.retry import RetryAllowance
from sassafraswinch.routing import Router
from sassafraswinch.verdict import Reason, Verdict


class NoLinks:
    """Links of a node that has none."""

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


def test_call_to_a_service_without_links_asks_for_them():
    """In a fleet of 100 every call to another service was refused with no-host.

    Above 24 hosts a node links to the services that it calls, but no call ever told
    the plan, so the links never came. The call may be refused; the next finds links.
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
