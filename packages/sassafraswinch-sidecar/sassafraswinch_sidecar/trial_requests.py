"""Trial requests: a few requests of classes whose cost is no longer measured.

A cost is measured from completed requests. A class that is refused whole completes
none, so a cost that has become too high would refuse it for as long as its callers
return. A few of its requests are admitted nevertheless, over all ingress sidecars
together; the first that is completed replaces the cost everywhere.
"""

import random
from collections.abc import Iterable

from sassafraswinch.capacity_shares import Claim

MAX_COST_AGE_MS = 5_000.0
"""Age at which a cost counts as outdated: a more recent one of any sidecar replaces it,
and trial requests begin if there is none."""

MIN_TRIAL_INTERVAL_MS = 1_000.0
MAX_TRIAL_INTERVAL_MS = 3_000.0
"""Time between two trial requests of a class, over all ingress sidecars. A trial that
fails deep in its call tree wastes the work done above."""

AGE_PER_TRIAL = 4.0
"""Age of a cost, in trial intervals: the longer a class is refused, the rarer its trial
requests are, down to the greatest interval."""


class TrialRequests:
    """Chooses the trial requests of one ingress sidecar.

    Each sidecar admits the same share of its arrivals, so the number over the fleet
    doesn't depend on the number of hosts.

    Args:
        rng: draws when the first trial of a class is due, so that sidecars don't admit
            one at the same moment.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._shares: dict[str, float] = {}
        self._due: dict[str, float] = {}

    def set_outdated(self, claims: Iterable[Claim]) -> None:
        """Set the classes that get trial requests, with the demand of the fleet."""
        self._shares = {claim.kind: _trial_share(claim) for claim in claims}
        self._due = {
            kind: self._due.get(kind, self._rng.random()) for kind in self._shares
        }

    def admit(self, kind: str) -> bool:
        """Return whether an arriving request of a class is admitted as a trial."""
        share = self._shares.get(kind)
        if share is None:
            return False
        due = self._due[kind] + share
        self._due[kind] = due % 1.0
        return due >= 1.0


def is_outdated(claim: Claim) -> bool:
    """Return whether the costs of a claim were measured too long ago."""
    return claim.age_ms >= MAX_COST_AGE_MS


def _trial_share(claim: Claim) -> float:
    interval_ms = min(
        max(claim.age_ms / AGE_PER_TRIAL, MIN_TRIAL_INTERVAL_MS), MAX_TRIAL_INTERVAL_MS
    )
    arrivals = claim.rate_per_s * interval_ms / 1000
    return 1.0 / max(arrivals, 1.0)
