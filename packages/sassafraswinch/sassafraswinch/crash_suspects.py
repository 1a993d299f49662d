"""Crash suspects: requests that were running when backend servers crashed.

Load pattern: one request crashes the process of each server that starts to run it. Its
caller sends it again, to any host and under new ids, a host retries what was lost with
a server, and within seconds all servers of a service are down together.

Each request that was running on a server when its process crashed is a suspect. Crashes
are counted by request, each once, however often it is reported; a later answer clears
the request. After one crash it runs without restriction, for dozens of innocent
requests were lost with it. After two it runs one copy at a time; after three it is held
back and given a trial run now and then, since it may be innocent after all, or the
servers may have been mended.
"""

import enum
import itertools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sassafraswinch.request_digest import TAG_BYTES, Digests, path_tag

CRASHES_TO_RUN_ALONE = 2
"""Crashes after which a request runs one copy at a time, and beside no other such
request: each copy would crash one more server, and innocent requests would be lost
with it again."""

CRASHES_TO_HOLD = 3
"""Crashes after which a request is held back. Few innocent requests share three: one
that is lost with a server is retried at another, which has to crash under it as
well."""

FIRST_TRIAL_DELAY_MS = 120_000.0
"""Delay after the last crash until a request that is held back may run once, and so the
longest wait of an innocent caller. After a power failure in which all hosts lose their
state, three more servers crash before the request is held back again; a shorter delay
would add the crashes of trials to those."""

TRIAL_DELAY_FACTOR = 5
"""Factor on the trial delay for each trial that crashed a server: 2 minutes, then 10,
then the maximum, so that a bad request that keeps arriving crashes two servers an
hour."""

MAX_TRIAL_DELAY_MS = 1_800_000.0
"""Maximum trial delay: mended servers serve a request again within half an hour."""

CRASH_RETENTION_MS = 2 * MAX_TRIAL_DELAY_MS
"""Age at which a crash expires: well past the trial that follows it."""

CLEARED_RETENTION_MS = 60_000.0
"""Time for which a cleared request is kept: a host that was partitioned may still
report the earlier crashes."""

MAX_SUSPECTS = 2_048
"""Limit on stored suspects: about a megabyte, and the load of twenty busy servers."""

KEPT_SHARE = 0.9
"""Share that is kept when the limit is reached; evicting in batches is cheaper."""


class Restriction(enum.IntEnum):
    """Restriction on running a request, in order of strictness."""

    FREE = 0
    """No restriction."""

    ALONE = 1
    """May run only beside no copy of it and no other request with this restriction."""

    TRIAL = 2
    """Was held back; one server of the fleet may run it once, alone."""

    HELD = 3
    """Must not run."""


@dataclass(frozen=True, slots=True)
class SuspectDecision:
    """Restriction that applies to a request, and the reason for it.

    Attributes:
        restriction: restriction on running it.
        digest: digest of the request to which the restriction applies.
        crashes: names of the crashes since the request was last answered.
        wait_ms: time until its next trial, if it is held back.
    """

    restriction: Restriction
    digest: bytes = b""
    crashes: tuple[str, ...] = ()
    wait_ms: float = 0.0


UNRESTRICTED = SuspectDecision(Restriction.FREE)


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """One suspect as a host reports it; times are sent as ages, as clocks differ.

    Attributes:
        digest: digest of the request.
        end_ages_ms: age of each crash by its name.
        answered_age_ms: age of the answer that cleared it; None without one.
    """

    digest: bytes
    crash_ages_ms: Mapping[str, float]
    answered_age_ms: float | None = None


@dataclass(slots=True)
class _Suspect:
    crashes: dict[str, float] = field(default_factory=dict)
    answered_ms: float = -math.inf
    change: int = 0

    def counted(self) -> list[tuple[float, str]]:
        """Return the crashes since the last answer, by time."""
        return sorted(
            (at_ms, name)
            for name, at_ms in self.crashes.items()
            if at_ms > self.answered_ms
        )


class CrashSuspects:
    """Crash suspects known to one host.

    The state is the union of all reports: the sidecar beside the server names a crash,
    so a crash that is reported twice, late or by several hosts counts once. No host
    decides for others, and two partitioned zones agree once they have exchanged
    reports.
    """

    def __init__(self):
        self._suspects: dict[bytes, _Suspect] = {}
        self._tags: set[bytes] = set()
        self._changes = itertools.count(1)
        self.last_change = 0

    def __len__(self) -> int:
        return len(self._suspects)

    def may_contain(self, target: bytes) -> bool:
        """Return whether a request for this path may be a suspect.

        Nearly all requests are not, and need no digest.
        """
        return bool(self._tags) and path_tag(target) in self._tags

    def record_crash(self, digests: Digests, end: str, now_ms: float) -> bool:
        """Record that a server process crashed while it ran a request.

        Args:
            digests: the request's digests.
            end: name of the crash, the same for all requests that ran there.
            now_ms: monotonic time.

        Returns:
            Whether this changed the state.
        """
        changed = [self._add_crash(digest, end, now_ms) for digest in digests]
        return any(changed)

    def record_answer(self, digests: Digests, now_ms: float) -> bool:
        """Clear a request that a server has run to completion.

        Returns:
            Whether this changed the state.
        """
        changed = [self._clear(digest, now_ms) for digest in digests]
        return any(changed)

    def decide(self, digests: Digests, now_ms: float) -> SuspectDecision:
        """Return the strictest restriction that now applies to any of the digests."""
        decisions = (self._decide(digest, now_ms) for digest in digests)
        return max(decisions, key=lambda each: each.restriction, default=UNRESTRICTED)

    def restricted(self, now_ms: float) -> list[SuspectDecision]:
        """Return a decision for each request that is restricted."""
        decisions = (self._decide(digest, now_ms) for digest in self._suspects)
        return [each for each in decisions if each.restriction is not Restriction.FREE]

    def held_back(self, now_ms: float) -> list[SuspectDecision]:
        """Return a decision for each request that is held back or due for a trial."""
        restricted = self.restricted(now_ms)
        return [each for each in restricted if each.restriction >= Restriction.TRIAL]

    def reports(
        self, now_ms: float, *, after: int = 0, min_crashes: int = 0
    ) -> list[SuspectReport]:
        """Return the reports of suspects for another host.

        Args:
            now_ms: monotonic time.
            after: number of the last change that was sent to the other host.
            min_crashes: leaves out suspects with fewer crashes since their last answer.
        """
        return [
            _report(digest, suspect, now_ms)
            for digest, suspect in self._suspects.items()
            if suspect.change > after and len(suspect.counted()) >= min_crashes
        ]

    def merge_reports(self, reports: Iterable[SuspectReport], now_ms: float) -> bool:
        """Merge the reports of another host; return whether the state changed."""
        changed = [self._merge(report, now_ms) for report in reports]
        return any(changed)

    def evict_expired(self, now_ms: float) -> None:
        """Evict expired crashes and the suspects that no longer need any state."""
        for digest, suspect in list(self._suspects.items()):
            suspect.crashes = {
                name: at_ms
                for name, at_ms in suspect.crashes.items()
                if now_ms - at_ms < CRASH_RETENTION_MS
            }
            cleared = not suspect.counted()
            if cleared and now_ms - suspect.answered_ms >= CLEARED_RETENTION_MS:
                del self._suspects[digest]
        self._rebuild_tags()

    def add_paused_time(self, paused_ms: float) -> None:
        """Add the length of a process pause that the clock missed to all ages."""
        for suspect in self._suspects.values():
            suspect.answered_ms -= paused_ms
            suspect.crashes = {
                name: at_ms - paused_ms for name, at_ms in suspect.crashes.items()
            }

    def _decide(self, digest: bytes, now_ms: float) -> SuspectDecision:
        suspect = self._suspects.get(digest)
        counted = suspect.counted() if suspect else []
        if len(counted) < CRASHES_TO_RUN_ALONE:
            return UNRESTRICTED
        names = tuple(name for _, name in counted)
        if len(counted) < CRASHES_TO_HOLD:
            return SuspectDecision(Restriction.ALONE, digest, names)
        times_ms = [at_ms for at_ms, _ in counted]
        wait_ms = times_ms[-1] + trial_delay_ms(times_ms) - now_ms
        restriction = Restriction.HELD if wait_ms > 0 else Restriction.TRIAL
        return SuspectDecision(restriction, digest, names, max(wait_ms, 0.0))

    def _add_crash(self, digest: bytes, crash: str, at_ms: float) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[digest] = _Suspect()
            self._tags.add(digest[:TAG_BYTES])
        known_ms = suspect.crashes.get(crash)
        # Each hop adds delay, so the earliest reported time is the most accurate.
        suspect.crashes[crash] = at_ms if known_ms is None else min(known_ms, at_ms)
        if known_ms is not None:
            return False
        self._record_change(suspect)
        return True

    def _clear(self, digest: bytes, at_ms: float) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None or at_ms <= suspect.answered_ms:
            return False
        counted = suspect.counted()
        suspect.answered_ms = at_ms
        if not counted or counted[0][0] > at_ms:
            return False
        self._record_change(suspect)
        return True

    def _merge(self, report: SuspectReport, now_ms: float) -> bool:
        crashes = {
            name: age_ms
            for name, age_ms in report.crash_ages_ms.items()
            if 0 <= age_ms < CRASH_RETENTION_MS
        }
        added = [
            self._add_crash(report.digest, name, now_ms - age_ms)
            for name, age_ms in crashes.items()
        ]
        cleared = report.answered_age_ms is not None and self._clear(
            report.digest, now_ms - max(report.answered_age_ms, 0.0)
        )
        return any(added) or cleared

    def _record_change(self, suspect: _Suspect) -> None:
        suspect.change = self.last_change = next(self._changes)

    def _make_room(self) -> None:
        """Evict the suspects with the fewest crashes, the oldest first, when full.

        Failure: a caller sends thousands of different requests that crash servers, or
        servers crash by the dozen. Unbounded, that would exhaust this host's memory.
        """
        if len(self._suspects) < MAX_SUSPECTS:
            return
        kept = sorted(self._suspects.items(), key=_weight, reverse=True)
        self._suspects = dict(kept[: int(MAX_SUSPECTS * KEPT_SHARE)])
        self._rebuild_tags()

    def _rebuild_tags(self) -> None:
        self._tags = {digest[:TAG_BYTES] for digest in self._suspects}


def trial_delay_ms(times_ms: list[float]) -> float:
    """Return the delay from a request's last crash to its next trial.

    Crashes close together count as one: they only show that all servers were lost at
    once, which also happens to an innocent request that many callers send.

    Args:
        times_ms: times of its crashes, in order, at least as many as hold it back.
    """
    later = itertools.pairwise(times_ms[CRASHES_TO_HOLD - 1 :])
    trials = sum(
        1 for before, after in later if after - before >= FIRST_TRIAL_DELAY_MS / 2
    )
    return min(FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR**trials, MAX_TRIAL_DELAY_MS)


def _report(digest: bytes, suspect: _Suspect, now_ms: float) -> SuspectReport:
    cleared = suspect.answered_ms > -math.inf
    return SuspectReport(
        digest=digest,
        crash_ages_ms={name: now_ms - at_ms for name, at_ms in suspect.crashes.items()},
        answered_age_ms=now_ms - suspect.answered_ms if cleared else None,
    )


def _weight(item: tuple[bytes, _Suspect]) -> tuple[int, float]:
    counted = item[1].counted()
    return len(counted), max(item[1].crashes.values(), default=-math.inf)
