"""Retry policy of requests: limits per request and route, and the retry budget."""

from collections.abc import Callable

from sassafraswinch.ranks import route_priority_of
from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.retry_budget import RetryBudget

MAX_OFFERS = 7
"""Maximum number of times that a request is written to backend servers that prove that
they did not run it. At a service that refuses 0.55 of its requests, 0.985 of the
requests pass within 7 attempts."""

MIN_RETRY_REMAINING_MS = 40.0
"""Minimum remaining time for another attempt: a network transfer and a short run."""


class RelayRetryPolicy:
    """Decides whether a request may be retried.

    Args:
        budget: retry budget of this sidecar.
        now_ms: monotonic clock.
    """

    def __init__(self, *, budget: RetryBudget, now_ms: Callable[[], float]):
        self._budget = budget
        self._now_ms = now_ms
        self._downstream_services: dict[tuple[str, str], set[str]] = {}

    def record_sent(self, relay: Relay) -> None:
        """Count an attempt that is sent to an executing sidecar.

        When an executing sidecar refuses an attempt before it reaches the backend
        server, sending that attempt to the next one isn't counted again.
        """
        if not relay.is_counted:
            relay.is_counted = True
            self._budget.record_sent(
                relay.service,
                is_retry=relay.is_retry,
                now_ms=self._now_ms(),
                priority=route_priority_of(relay.priority),
            )

    def record_downstream_services(self, relay: Relay) -> None:
        """Record the downstream services of a request from its slot times.

        Those of a route at one service say nothing about it at another one.
        """
        if len(relay.slot_ms) > 1:
            part = relay.route.name, relay.service
            downstream = self._downstream_services.setdefault(part, set())
            downstream.update(relay.slot_ms.keys() - {relay.service})

    def has_time(self, relay: Relay) -> bool:
        """Return whether another attempt could finish before the deadline."""
        return relay.deadline_ms - self._now_ms() >= MIN_RETRY_REMAINING_MS

    def allows_retry_of_unexecuted(self, relay: Relay) -> bool:
        """Return whether a request may be retried that a server refused to run."""
        return relay.offers < MAX_OFFERS and self._budget_allows(relay)

    def allows_retry_of_failed(self, relay: Relay) -> bool:
        """Return whether a request may be retried that failed or may have run."""
        return (
            relay.route.idempotent
            and self.has_time(relay)
            and relay.offers < relay.route.max_attempts
            and self._budget_allows(relay)
        )

    def _budget_allows(self, relay: Relay) -> bool:
        """Return whether the retry budget allows a retry of a request.

        After one refusal the request and its ancestors aren't retried any more.

        Failure: a service deep in the call chain sheds half of its requests. If each
        upstream service retries the requests that failed for this reason, all their
        child calls count as retries at the failing service and exhaust its budget
        within 1 s. Direct retries of the failing calls, the only useful ones, are then
        refused.
        """
        if not relay.repeats_spent:
            part = relay.route.name, relay.service
            downstream = self._downstream_services.get(part, ())
            allowed = self._budget.allows_retry(
                relay.service,
                self._now_ms(),
                downstream=downstream,
                priority=route_priority_of(relay.priority),
            )
            relay.repeats_spent = not allowed
        return not relay.repeats_spent
