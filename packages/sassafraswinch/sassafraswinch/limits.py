"""How many calls a backend server can run at once, learnt from what the node sees."""

from sassafraswinch.gate import BackendOutcome
from sassafraswinch.regression import Elasticity, Round

MIN_LIMIT = 2
"""Calls; one would leave the server idle between an answer and the next call."""

MAX_LIMIT = 4096
"""Calls; above all slots and connection counts of the brief."""

UNKNOWN_SLOTS = 16
"""Calls; where the ramp ends and careful growth begins when there is no hint."""

COLD_SHARE = 0.25
"""Share of the hint that a cold server gets first."""

RAMP_STEP = 1.0
"""Growth for each call that is answered while the limit is below its goal and calls
wait: it doubles in the time of one call."""

GROWTH_FACTOR = 1.15
"""Growth a round beyond the hint, while nothing speaks against it: a hint of half
the slots is made good in five rounds."""

ROUND_MS = 100.0
"""Shortest round: one step of growth, one comparison of latencies."""

ROUND_SERVICE_TIMES = 2.0
"""Length of a round in mean times of a call, so that the calls of a step have
ended before the next one."""

MEAN_GAIN = 0.05
"""Weight of a call in the mean time of calls: twenty calls."""

BROKEN_STREAK = 5
"""Broken calls in a row that mean a server in trouble or restarted."""

BROKEN_FACTOR = 0.5
"""Share of the limit kept after such a streak."""

SHED_FLOOR = 0.5
"""Share of the limit kept at least by one cut after a shed."""

CASCADE_MS = 1_000.0
"""Time between cuts up to which they have one cause."""

QUEUEING_ELASTICITY = 0.5
"""Elasticity above which there is a queue inside the server: more than half of a
further call's share of the throughput is lost to the others."""

SURE_ERRORS = 3.5
"""Standard errors by which the elasticity must be above zero for a cut. At 2.5 one
seed in twelve lost 10% of its limit for nothing; queues are found as soon."""

QUEUEING_FACTOR = 0.9
"""Share of the limit kept by a cut for queueing."""

DITHER_SHARE = 0.85
"""Share of the limit in the middle half of a dithered round. At a steady limit all
calls start at the same count in flight, and nothing could be compared."""

DITHER_ROUNDS = 10
"""Rounds at the limit from one dithered round to the next: 15% less for half of a
tenth of the time costs 0.75% of the throughput."""

DOUBT_DITHER_ROUNDS = 2
"""The same while queueing is suspected but not sure."""

REGROWTH_SHARE = 0.03
"""Growth in the first round above the ceiling, once it is tried again. It doubles
each round up to ``GROWTH_FACTOR``, as the ceiling turns out to be outdated."""

CEILING_SPAN = 1.5
"""Multiple of the ceiling at which it no longer holds."""

FIRST_RETRY_MS = 300.0
"""Time after a cut until the limit grows above the ceiling again."""

MAX_RETRY_MS = 30_000.0
"""Longest such time: it doubles with each cut that follows a try."""


class ConcurrencyLimit:
    """The limit on calls in flight at one backend server.

    Slots of the document are a hint for the start. Two things cut the limit:

    - a shed: the server refused a call that started as the n-th, so n - 1 is
      a bound on what it runs, and becomes the ceiling;
    - queueing inside the server: calls that start at a high count take longer
      than calls of the same round that start at a low count. A server that
      becomes slower as a whole changes both alike, and keeps its limit.

    It grows while calls reach it and nothing speaks against growth; above
    the ceiling it does so late and slowly.
    """

    def __init__(self, *, slots: int | None):
        self._hint = slots
        self._limit = clamp((slots or UNKNOWN_SLOTS) * COLD_SHARE)
        self._ceiling: float | None = None
        self._retry_ms = FIRST_RETRY_MS
        self._retry_at_ms = 0.0
        self._regrowth = REGROWTH_SHARE
        self._cut_at_ms = float("-inf")
        self._before_cascade = self._limit
        self._broken_streak = 0
        self._mean_ms = 0.0
        self._elasticity = Elasticity()
        self._round = Round()
        self._ended_round = Round()
        self._round_starts_ms = 0.0
        self._round_ends_ms = float("-inf")
        self._rounds_since_dither = 0
        self._dithers = False
        self._reached = False

    @property
    def limit(self) -> int:
        """Calls that may be in flight."""
        return int(self._limit)

    @property
    def goal(self) -> int:
        """The limit that a running ramp leads to within a few service times."""
        return int(max(self._limit, self._goal()))

    def allowed(self, now_ms: float) -> int:
        """Return the limit for calls that start now, lowered while dithering."""
        if not self._dithers:
            return int(self._limit)
        quarter_ms = (self._round_ends_ms - self._round_starts_ms) / 4
        into_ms = now_ms - self._round_starts_ms
        lowered = quarter_ms <= into_ms < 3 * quarter_ms
        return int(self._limit * DITHER_SHARE) if lowered else int(self._limit)

    def set_slots(self, slots: int | None) -> None:
        """Start again from a new hint; the same hint changes nothing."""
        if slots == self._hint:
            return
        self._hint = slots
        self._ceiling = None
        self._limit = clamp(slots or UNKNOWN_SLOTS)

    def reached(self) -> None:
        """Note that a call found the limit reached: growth would be of use."""
        self._reached = True

    def started(self) -> Round:
        """Return the round of a call that starts now, for ``finished``."""
        return self._round

    def finished(
        self,
        *,
        started_in: Round,
        started_in_flight: int,
        started_at_ms: float,
        self_time_ms: float,
        outcome: BackendOutcome,
        now_ms: float,
    ) -> None:
        """Learn from a call.

        Args:
            started_in: what ``started`` returned.
            started_in_flight: calls in flight just after its start, it included.
            started_at_ms: when it started.
            self_time_ms: time at the backend server less that of child calls.
            outcome: how it ended.
            now_ms: monotonic time.
        """
        if outcome is BackendOutcome.OK:
            self._broken_streak = 0
            gain = MEAN_GAIN if self._mean_ms else 1.0
            self._mean_ms += gain * (self_time_ms - self._mean_ms)
            started_in.add(
                in_flight=started_in_flight,
                started_at_ms=started_at_ms,
                time_ms=self_time_ms,
            )
            if self._reached and self._limit < self._goal():
                self._limit = clamp(min(self._limit + RAMP_STEP, self._goal()))
        elif outcome is BackendOutcome.SHED:
            self._shed(started_in_flight, started_at_ms, now_ms)
        elif outcome is BackendOutcome.BROKEN:
            self._broken(started_at_ms, now_ms)
        if now_ms >= self._round_ends_ms:
            self._end_round(now_ms)

    def _shed(self, in_flight: int, started_at_ms: float, now_ms: float) -> None:
        if started_at_ms < self._cut_at_ms:
            return
        if in_flight <= MIN_LIMIT:
            self._reopen_at_once()
            return
        bound = max(in_flight - 1.0, self._limit * SHED_FLOOR)
        if bound < self._limit:
            self._cut(bound, now_ms)

    def _reopen_at_once(self) -> None:
        """Let the limit double back, once calls are answered again.

        A server that drains or pauses sheds calls whatever their number, and
        the cuts follow its last running calls down to nothing. They said
        nothing about its slots: with the lowest cut as the ceiling, a drain
        of one second would cost many.
        """
        self._ceiling = self._before_cascade
        self._retry_ms = FIRST_RETRY_MS

    def _broken(self, started_at_ms: float, now_ms: float) -> None:
        if started_at_ms < self._cut_at_ms:
            return
        self._broken_streak += 1
        if self._broken_streak >= BROKEN_STREAK:
            self._broken_streak = 0
            self._limit = clamp(self._limit * BROKEN_FACTOR)
            self._cut_at_ms = now_ms

    def _cut(self, limit: float, now_ms: float) -> None:
        if now_ms - self._cut_at_ms > CASCADE_MS:
            self._before_cascade = self._limit
        tried = self._ceiling is not None and self._limit > self._ceiling
        self._retry_ms = (
            min(self._retry_ms * 2, MAX_RETRY_MS) if tried else self._retry_ms
        )
        self._limit = self._ceiling = clamp(limit)
        self._cut_at_ms = now_ms
        self._retry_at_ms = now_ms + self._retry_ms
        self._regrowth = REGROWTH_SHARE
        self._elasticity = Elasticity()

    def _end_round(self, now_ms: float) -> None:
        self._elasticity.take(self._ended_round)
        value, error = self._elasticity.estimate()
        queueing = value > QUEUEING_ELASTICITY
        if self._reached:
            if queueing and value > SURE_ERRORS * error:
                self._cut(self._limit * QUEUEING_FACTOR, now_ms)
            elif not queueing or value < error:
                self._grow(now_ms)
        self._begin_round(queueing and value > error, now_ms)

    def _begin_round(self, doubt: bool, now_ms: float) -> None:
        self._ended_round, self._round = self._round, Round()
        self._rounds_since_dither += self._reached
        pause = DOUBT_DITHER_ROUNDS if doubt else DITHER_ROUNDS
        self._dithers = self._reached and self._rounds_since_dither >= pause
        if self._dithers:
            self._rounds_since_dither = 0
        self._reached = False
        self._round_starts_ms = now_ms
        self._round_ends_ms = now_ms + max(
            ROUND_MS, ROUND_SERVICE_TIMES * self._mean_ms
        )

    def _goal(self) -> float:
        return self._ceiling or self._hint or UNKNOWN_SLOTS

    def _grow(self, now_ms: float) -> None:
        if self._limit < self._goal():
            return
        if self._ceiling is None:
            self._limit = clamp(max(self._limit * GROWTH_FACTOR, self._limit + 1))
        elif now_ms >= self._retry_at_ms:
            grown = max(self._limit * (1 + self._regrowth), self._limit + 1)
            self._limit = clamp(grown)
            self._regrowth = min(self._regrowth * 2, GROWTH_FACTOR - 1)
            if self._limit > self._ceiling * CEILING_SPAN:
                self._ceiling = None
                self._retry_ms = FIRST_RETRY_MS


def clamp(limit: float) -> float:
    """Return the limit within ``MIN_LIMIT`` and ``MAX_LIMIT``."""
    return float(min(max(limit, MIN_LIMIT), MAX_LIMIT))
