"""Whether a request is sent to one more backend server."""

from collections.abc import Callable

from sassafraswinch.ranks import route_priority_of
from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.repeat_budget import RepeatBudget

MAX_OFFERS = 7
"""Times that a request is written to backend servers while they prove that they didn't
run it: at a service that refuses 0.55 of its requests, 0.985 of them pass in seven."""

MIN_RETRY_LEFT_MS = 40.0
"""Time that must be left for one more try: a way across and a short run."""


class RelayRepeats:
    """Keeps repeats within what the route, the caller and the fleet allow.

    Args:
        budget: bound of the repeats of all sidecars.
        now_ms: monotonic clock.
    """

    def __init__(self, *, budget: RepeatBudget, now_ms: Callable[[], float]):
        self._budget = budget
        self._now_ms = now_ms
        self._services_below: dict[str, set[str]] = {}

    def sent(self, relay: Relay) -> None:
        """Count a request that goes to a backend server's sidecar.

        The further sidecars of one try aren't counted: those before refused it unsent.
        """
        if relay.repeated or relay.places == 1:
            self._budget.sent(
                relay.service,
                repeated=relay.repeated,
                now_ms=self._now_ms(),
                priority=route_priority_of(relay.priority),
            )

    def learn(self, relay: Relay) -> None:
        """Note the services that the calls below a request went to."""
        if len(relay.slot_ms) > 1:
            below = self._services_below.setdefault(relay.route.name, set())
            below.update(relay.slot_ms.keys() - {relay.service})

    def has_time(self, relay: Relay) -> bool:
        """Return whether one more try could end in time."""
        return relay.deadline_ms - self._now_ms() >= MIN_RETRY_LEFT_MS

    def allow_unrun(self, relay: Relay) -> bool:
        """Return whether a request that a server refused unrun may be offered again."""
        return relay.offers < MAX_OFFERS and self._budget_allows(relay)

    def allow_failed(self, relay: Relay) -> bool:
        """Return whether a request that failed, or may have run, may run once more."""
        return (
            relay.route.idempotent
            and self.has_time(relay)
            and relay.offers < relay.route.max_attempts
            and self._budget_allows(relay)
        )

    def _budget_allows(self, relay: Relay) -> bool:
        """Return whether a request may be repeated for all that is repeated already.

        Failure: a service deep in the chain sheds half of its requests. Each service
        above repeats the requests that failed for it, all their calls count as repeats
        where they fail again, and within a second none are left for the calls
        themselves, which alone can help.
        """
        if not relay.repeats_spent:
            below = self._services_below.get(relay.route.name, ())
            allowed = self._budget.allows(
                relay.service,
                self._now_ms(),
                below=below,
                priority=route_priority_of(relay.priority),
            )
            relay.repeats_spent = not allowed
        return not relay.repeats_spent
