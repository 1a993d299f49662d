"""Callers of the simulation: they come back as those of the users' platform do."""

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
"""Sends a request to a host; the callback gets the status of its end."""


@dataclass(slots=True)
class Tally:
    """What callers of one kind got, by the second of their first request."""

    owed: dict[int, float] = field(default_factory=dict)
    earned: dict[int, float] = field(default_factory=dict)
    refused_again: float = 0.0


class Caller:
    """Sends a request, and comes back once, or at once and often.

    Args:
        kind: what is sent.
        send: sends it.
        tally: counts what the caller got.
        clock: simulated time.
        rng: source of the waits that refusals tell.
        is_abusive: whether it asks four times more, at once, whatever it is told.
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
        self._waits = not is_abusive
        self._retries = 4 if is_abusive else 1
        self._refusals = 0
        self._first_ms = clock.now_ms
        second = int(self._first_ms / 1000)
        tally.owed[second] = tally.owed.get(second, 0.0) + kind.worth
        send(self._answered)

    def _answered(self, status: int) -> None:
        kind, tally = self._kind, self._tally
        held_ms = self._clock.now_ms - self._first_ms
        if status == 200:
            second = int(self._first_ms / 1000)
            credit = kind.worth if held_ms <= kind.target_ms else kind.late_worth
            tally.earned[second] = tally.earned.get(second, 0.0) + credit
            return
        unrun = status == 503
        self._refusals += unrun
        left_ms = kind.patience_ms - held_ms
        if not self._retries or left_ms <= 0 or not (unrun or kind.idempotent):
            if self._refusals > 1:
                tally.refused_again += kind.worth
            return
        self._retries -= 1
        wait_ms = self._wait_ms() if unrun and self._waits else 0.0
        self._clock.after(min(wait_ms, left_ms / 3), lambda: self._send(self._answered))

    def _wait_ms(self) -> float:
        share = self._rng.uniform(*RETRY_AFTER_SHARES)
        return max(self._kind.target_ms * share, MIN_RETRY_AFTER_MS)
