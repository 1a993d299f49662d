"""Adaptive concurrency limit of a backend server, estimated from its calls."""

from sassafraswinch.gate import BackendOutcome
from sassafraswinch.regression import Elasticity, Round

MIN_LIMIT = 2
"""Minimum number of calls; a single one would leave the server idle between an answer
and the next call."""

MAX_LIMIT = 4096
"""Maximum number of calls; above all expected slot and connection counts."""

UNKNOWN_SLOTS = 16
"""Number of calls at which the ramp ends and careful growth begins without a hint."""

COLD_SHARE = 0.25
"""Share of the hint that is the initial limit of a cold server."""

RAMP_STEP = 1.0
"""Growth of the limit for each call that is answered while the limit is below its goal
and calls wait: the limit doubles in the time of one call."""

GROWTH_FACTOR = 1.15
"""Growth per round above the hint, while there is no sign of overload: a hint of half
the slots is corrected in five rounds."""

ROUND_MS = 100.0
"""Minimum duration of a round, which is one step of growth and one comparison of
latencies."""

ROUND_SERVICE_TIMES = 2.0
"""Duration of a round as multiple of the mean call time, so that the calls of one step
have ended before the next."""

MEAN_GAIN = 0.05
"""Weight of a call in the mean call time: twenty calls."""

BROKEN_STREAK = 5
"""Consecutive broken calls that indicate a failing or restarted server."""

BROKEN_FACTOR = 0.5
"""Factor on the limit after such a streak."""

SHED_FLOOR = 0.5
"""Minimum share of the limit that is kept by one cut after a shed."""

CASCADE_MS = 1_000.0
"""Maximum time between cuts that are attributed to one cause."""

QUEUEING_ELASTICITY = 0.5
"""Elasticity above which there is a queue inside the server: more than half of a
further call's share of the throughput is lost to the others."""

SURE_ERRORS = 3.5
"""Standard errors by which the elasticity must exceed zero for a cut. At 2.5 one run in
twelve lost 10% of its limit without cause; queues are detected just as soon."""

QUEUEING_FACTOR = 0.9
"""Factor on the limit at a cut for queueing."""

DITHER_SHARE = 0.85
"""Share of the limit in the middle half of a dithered round. At a constant limit all
calls start at the same count in flight, so there would be nothing to compare."""

DITHER_ROUNDS = 10
"""Rounds at the limit between two dithered rounds: 15% less for half of a tenth of the
time costs 0.75% of the throughput."""

DOUBT_DITHER_ROUNDS = 2
"""Rounds between two dithered rounds while queueing is suspected but not certain."""

REGROWTH_SHARE = 0.03
"""Growth in the first round above the ceiling, once it is retried. It doubles each
round up to ``GROWTH_FACTOR``, as the ceiling turns out to be outdated."""

CEILING_SPAN = 1.5
"""Multiple of the ceiling above which the ceiling is dropped."""

FIRST_RETRY_MS = 300.0
"""Initial delay after a cut until the limit may grow above the ceiling again."""

MAX_RETRY_MS = 30_000.0
"""Maximum of that delay, which doubles with each cut that follows a retry."""


class ConcurrencyLimit:
    """Limit on the calls in flight at one backend server.

    The slots of the document are a hint for the initial limit. Two events cut the
    limit:

    - a shed: the server refused a call that started as the n-th in flight, so n - 1 is
      a bound on the calls that it runs, and becomes the ceiling;
    - queueing inside the server: calls that start at a high count in flight take longer
      than calls of the same round that start at a low count. A server that becomes
      slower as a whole changes both alike, and keeps its limit.

    The limit grows while calls reach it and there is no sign of overload; above the
    ceiling it grows only after a delay and slowly.
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
        """Maximum number of calls in flight."""
        return int(self._limit)

    @property
    def goal(self) -> int:
        """Limit that a running ramp reaches within a few service times."""
        return int(max(self._limit, self._goal()))

    def allowed(self, now_ms: float) -> int:
        """Return the limit for calls that start now; it is lowered while dithering."""
        if not self._dithers:
            return int(self._limit)
        quarter_ms = (self._round_ends_ms - self._round_starts_ms) / 4
        into_ms = now_ms - self._round_starts_ms
        lowered = quarter_ms <= into_ms < 3 * quarter_ms
        return int(self._limit * DITHER_SHARE) if lowered else int(self._limit)

    def set_slots(self, slots: int | None) -> None:
        """Reset the limit to a new hint; an unchanged hint has no effect."""
        if slots == self._hint:
            return
        self._hint = slots
        self._ceiling = None
        self._limit = clamp(slots or UNKNOWN_SLOTS)

    def record_reached(self) -> None:
        """Record that the limit delayed a call, so that it may grow."""
        self._reached = True

    def started(self) -> Round:
        """Return the round of a call that starts now, to be passed to ``finished``."""
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
        """Update the limit with a finished call.

        Args:
            started_in: round that ``started`` returned for the call.
            started_in_flight: calls in flight just after its start, including it.
            started_at_ms: time at which it started.
            self_time_ms: time at the backend server less that of child calls.
            outcome: outcome of the call.
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
            self._handle_shed(started_in_flight, started_at_ms, now_ms)
        elif outcome is BackendOutcome.BROKEN:
            self._handle_broken(started_at_ms, now_ms)
        if now_ms >= self._round_ends_ms:
            self._end_round(now_ms)

    def _handle_shed(self, in_flight: int, started_at_ms: float, now_ms: float) -> None:
        if started_at_ms < self._cut_at_ms:
            return
        if in_flight <= MIN_LIMIT:
            self._restore_ceiling()
            return
        bound = max(in_flight - 1.0, self._limit * SHED_FLOOR)
        if bound < self._limit:
            self._cut(bound, now_ms)

    def _restore_ceiling(self) -> None:
        """Let the limit ramp up again as soon as calls are answered.

        A server that drains or pauses sheds calls whatever their number, and the cuts
        follow its last running calls down to the minimum. They don't reflect its slots:
        with the lowest cut as the ceiling, a drain of one second would reduce the
        throughput for many seconds.
        """
        self._ceiling = self._before_cascade
        self._retry_ms = FIRST_RETRY_MS

    def _handle_broken(self, started_at_ms: float, now_ms: float) -> None:
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
        retried = self._ceiling is not None and self._limit > self._ceiling
        self._retry_ms = (
            min(self._retry_ms * 2, MAX_RETRY_MS) if retried else self._retry_ms
        )
        self._limit = self._ceiling = clamp(limit)
        self._cut_at_ms = now_ms
        self._retry_at_ms = now_ms + self._retry_ms
        self._regrowth = REGROWTH_SHARE
        self._elasticity = Elasticity()

    def _end_round(self, now_ms: float) -> None:
        self._elasticity.add_round(self._ended_round)
        value, error = self._elasticity.estimate()
        queueing = value > QUEUEING_ELASTICITY
        if self._reached:
            if queueing and value > SURE_ERRORS * error:
                self._cut(self._limit * QUEUEING_FACTOR, now_ms)
            elif not queueing or value < error:
                self._grow(now_ms)
        self._begin_round(queueing and value > error, now_ms)

    def _begin_round(self, queueing_suspected: bool, now_ms: float) -> None:
        self._ended_round, self._round = self._round, Round()
        self._rounds_since_dither += self._reached
        spacing = DOUBT_DITHER_ROUNDS if queueing_suspected else DITHER_ROUNDS
        self._dithers = self._reached and self._rounds_since_dither >= spacing
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
    """Return the limit clamped to between ``MIN_LIMIT`` and ``MAX_LIMIT``."""
    return float(min(max(limit, MIN_LIMIT), MAX_LIMIT))
