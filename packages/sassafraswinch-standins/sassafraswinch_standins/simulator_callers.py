"""Simulated callers, which retry as the callers of the users' platform do."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sassafraswinch_sidecar.caller_responses import (
    MIN_RETRY_AFTER_MS,
    RETRY_AFTER_SHARES,
)
from sassafraswinch_standins.simulator_clock import Clock
from sassafraswinch_standins.simulator_load import Kind

Send = Callable[[Callable[[int], None]], None]
"""Sends a request to a host; the callback gets the final status."""


@dataclass(slots=True)
class Tally:
    """Credit of one kind of request, by the second in which it was first sent.

    Attributes:
        offered_credit: credit if all requests were answered in time.
        earned_credit: credit of the requests that were answered.
        failed_after_refusals: credit of requests that failed after several
            refusals.
    """

    offered_credit: dict[int, float] = field(default_factory=dict)
    earned_credit: dict[int, float] = field(default_factory=dict)
    failed_after_refusals: float = 0.0


class Caller:
    """Sends a request and retries it once, or several times if it is abusive.

    Args:
        kind: kind of the request.
        send: sends the request.
        tally: counts the credit that the caller earned.
        clock: simulated time.
        rng: source of the Retry-After delays of refusals.
        is_abusive: whether it retries up to four times without waiting, whatever
            Retry-After says.
    """

    def __init__(
        self,
        *,
        kind: Kind,
        send: Send,
        tally: Tally,
        clock: Clock,
        rng: random.Random,
        is_abusive: bool,
    ):
        self._kind = kind
        self._send = send
        self._tally = tally
        self._clock = clock
        self._rng = rng
        self._obeys_retry_after = not is_abusive
        self._retries = 4 if is_abusive else 1
        self._refusals = 0
        self._first_ms = clock.now_ms
        second = int(self._first_ms / 1000)
        tally.offered_credit[second] = (
            tally.offered_credit.get(second, 0.0) + kind.worth
        )
        send(self._handle_response)

    def _handle_response(self, status: int) -> None:
        kind, tally = self._kind, self._tally
        elapsed_ms = self._clock.now_ms - self._first_ms
        if status == 200:
            second = int(self._first_ms / 1000)
            credit = kind.worth if elapsed_ms <= kind.target_ms else kind.late_worth
            tally.earned_credit[second] = tally.earned_credit.get(second, 0.0) + credit
            return
        is_refused = status == 503
        self._refusals += is_refused
        remaining_ms = kind.patience_ms - elapsed_ms
        if (
            not self._retries
            or remaining_ms <= 0
            or not (is_refused or kind.idempotent)
        ):
            if self._refusals > 1:
                tally.failed_after_refusals += kind.worth
            return
        self._retries -= 1
        wait_ms = (
            self._retry_delay_ms() if is_refused and self._obeys_retry_after else 0.0
        )
        self._clock.schedule(
            min(wait_ms, remaining_ms / 3), lambda: self._send(self._handle_response)
        )

    def _retry_delay_ms(self) -> float:
        share = self._rng.uniform(*RETRY_AFTER_SHARES)
        return max(self._kind.target_ms * share, MIN_RETRY_AFTER_MS)
