"""Tests of what the retry budget counts."""

from types import SimpleNamespace

from sassafraswinch_sidecar.relay_retry_policy import RelayRetryPolicy


class Budget:
    """Retry budget that records what it is told."""

    def __init__(self):
        self.recorded: list[bool] = []
        self.downstream: list[set[str]] = []

    def record_sent(self, service, *, is_retry, now_ms, priority):
        self.recorded.append(is_retry)

    def allows_retry(self, service, now_ms, *, downstream, priority):
        self.downstream.append(set(downstream))
        return True


def test_attempt_that_is_placed_again_is_counted_once():
    """Guards against refusals for a rate limit that use up the retry budget."""
    budget = Budget()
    policy = RelayRetryPolicy(budget=budget, now_ms=lambda: 0.0)
    relay = SimpleNamespace(
        service="archiv", priority=1, is_retry=False, is_counted=False
    )
    policy.record_sent(relay)
    policy.record_sent(relay)
    relay.is_retry, relay.is_counted = True, False
    policy.record_sent(relay)
    policy.record_sent(relay)
    assert budget.recorded == [False, True]


def test_moved_route_does_not_depend_on_the_former_downstream_services():
    """Guards against retries refused for services that a route no longer calls."""
    budget = Budget()
    policy = RelayRetryPolicy(budget=budget, now_ms=lambda: 0.0)
    relay = SimpleNamespace(
        service="schvaleni",
        priority=1,
        offers=0,
        repeats_spent=False,
        route=SimpleNamespace(name="approve"),
        slot_ms={"schvaleni": 20.0, "vydej": 5.0},
    )
    policy.record_downstream_services(relay)
    policy.allows_retry_of_unexecuted(relay)
    relay.service = "archiv"
    policy.allows_retry_of_unexecuted(relay)
    assert budget.downstream == [{"vydej"}, set()]
