"""Tests of the caller stand-in."""

import random

import pytest

from sassafraswinch_standins.answers import RequestFields, make_answer, parse_request
from sassafraswinch_standins.arrivals import arrivals_ms
from sassafraswinch_standins.asgi import read_body, respond
from sassafraswinch_standins.caller import Caller
from sassafraswinch_standins.caller_settings import CallerSettings, Phase
from sassafraswinch_standins.clock import now_ms
from sassafraswinch_standins.serving import serving


def make_caller(address, *, non_repeatable=False, **more):
    traffic = {
        "name": "t",
        "class_name": "paying",
        "service": "s",
        "method": "POST",
        "path": "/orders/{id}",
        "caller_id": "c",
        "non_repeatable": non_repeatable,
    }
    fields = {
        "entries": [address],
        "phases": [{"rate_per_s": 200}],
        "duration_ms": 100,
        "traffic": [traffic],
    }
    return Caller(settings=CallerSettings.model_validate(fields | more))


class ScriptedNode:
    """ASGI application that returns scripted responses in place of a node."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.seen = []

    async def __call__(self, scope, receive, send):
        request = parse_request(query=b"", body=await read_body(receive))
        headers = dict(scope["headers"])
        ticket = headers.get(b"sassafraswinch-ticket", b"").decode()
        self.seen.append((request.request_id.rpartition(".")[2], ticket))
        script = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        status, fields = script
        body = make_answer(request, server="s") if status == 200 else b""
        if fields.pop("foreign", None):
            other = RequestFields(request_id="other", answer_bytes=5)
            body = make_answer(other, server="s")
        pairs = [(k.encode(), v.encode()) for k, v in fields.items()]
        await respond(send, status, body, *pairs)


NOT_RUN = {"sassafraswinch-verdict": "not-run", "retry-after-ms": "5"}
MAY_HAVE_RUN = {"sassafraswinch-verdict": "may-have-run"}


async def run_script(*answers, **more):
    node = ScriptedNode(*[(status, dict(fields)) for status, fields in answers])
    async with serving(node) as address:
        caller = make_caller(address, phases=[{"rate_per_s": 1e-9}], **more)
        caller._started_at_ms = now_ms()
        caller._offer(caller.settings.traffic[0], 1, 0.0)
        (pending,) = caller._tasks
        await pending
    return node, caller.tallies["t"]


async def test_open_loop_counts_each_request_once():
    node = ScriptedNode((200, {}))
    async with serving(node) as address:
        report = await make_caller(address, duration_ms=300).run()
    figures = report["traffic"]["t"]
    assert figures["first_attempts"] == len(node.seen) == figures["outcomes"]["good"]
    assert sum(figures["offered"]) == sum(figures["good"]) == len(node.seen)
    assert len(report["ids"]["good"]) == len(node.seen)


async def test_foreign_answer_is_counted_wrong():
    _, tally = await run_script((200, {"foreign": "1"}))
    assert tally.report(1)["outcomes"]["wrong"] == 1


@pytest.mark.parametrize(("mode", "hinted"), [("immediate", 0), ("honour", 2)])
async def test_refused_request_is_retried_up_to_the_limit(mode, hinted):
    _, tally = await run_script(
        (503, NOT_RUN), (503, NOT_RUN), (200, {}), retries={"limit": 2, "mode": mode}
    )
    figures = tally.report(1)
    assert figures["retries"] == 2
    assert figures["outcomes"]["good"] == 1
    assert figures["hinted_repeats"] == hinted


async def test_action_that_may_have_run_keeps_ticket_and_id():
    """A retry after MAY_HAVE_RUN reuses the ticket and the request id.

    The first ticket comes with a 428 response. A retry with a new ticket could execute
    the action twice, so the caller uses a new ticket and id only after NOT_RUN.
    """
    node, tally = await run_script(
        (428, {"sassafraswinch-ticket": "A"}),
        (502, MAY_HAVE_RUN),
        (503, NOT_RUN | {"sassafraswinch-ticket": "B"}),
        (200, {}),
        non_repeatable=True,
    )
    assert node.seen == [("0", ""), ("0", "A"), ("0", "A"), ("1", "B")]
    assert tally.report(1)["ticket_trips"] == 1


def test_arrivals_follow_the_phases():
    phases = [Phase(rate_per_s=100), Phase(at_ms=1000, rate_per_s=1000)]
    starts = list(arrivals_ms(phases, duration_ms=2000, rng=random.Random(1)))
    assert starts == sorted(starts)
    before = sum(at < 1000 for at in starts)
    assert 70 < before < 130
    assert 900 < len(starts) - before < 1100
