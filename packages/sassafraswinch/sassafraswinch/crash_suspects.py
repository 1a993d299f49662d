"""Which requests ended the backend servers that ran them, and what may still run.

Load pattern: one request ends the process of each server that begins to run it. Its
caller sends it again, at any host and under new ids, a host repeats what was lost with
a server, and within seconds all servers of a service are down together.

What ran on a server when its process ended is a suspect. Ends are counted by request,
each once, however often it is told; an answer since then clears the request. After one
end it goes its usual way, for dozens of innocent requests were lost with it. After two
it runs once at a time; after three it is held back, and tried now and then, since it
may be innocent after all, or the servers mended.
"""

import enum
import itertools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sassafraswinch.request_digest import TAG_BYTES, Digests, path_tag

CRASHES_TO_RUN_ALONE = 2
"""Ends after which a request runs once at a time, and beside no other such request:
each copy would end one more server, and others would be lost with it once more."""

CRASHES_TO_HOLD = 3
"""Ends after which a request is held back. Few innocent ones share three: whoever is
lost with a server is repeated at another one, which has to end under it as well."""

FIRST_TRIAL_DELAY_MS = 120_000.0
"""Time after the last end until a request that is held back may run once. An innocent
caller waits no longer. Hosts that all forgot, by a loss of power, let three more
servers end before they know again; trials that came sooner would add to those."""

TRIAL_DELAY_FACTOR = 5
"""Factor on that time for each trial that ended a server: 2 minutes, 10, then the
longest, so that a bad request which keeps coming ends two servers an hour."""

MAX_TRIAL_DELAY_MS = 1_800_000.0
"""Longest such time: mended servers serve a request again within half an hour."""

CRASH_RETENTION_MS = 2 * MAX_TRIAL_DELAY_MS
"""Age at which an end is forgotten: well past the trial that follows it."""

CLEARED_RETENTION_MS = 60_000.0
"""Time for which a cleared request is remembered: a host that was cut off may tell of
the former ends after it."""

MAX_SUSPECTS = 2_048
"""Requests that are remembered: about a megabyte, and twenty busy servers' worth."""

KEPT_SHARE = 0.9
"""Part that is kept when they are too many; dropping some at a time is cheaper."""


class Restriction(enum.IntEnum):
    """What a request may do; the later, the less."""

    FREE = 0
    """It goes its usual way."""

    ALONE = 1
    """It may run where no copy of it runs, and no other request that may run alone."""

    TRIAL = 2
    """It was held back; one server of the fleet may run it once, alone."""

    HELD = 3
    """It must not run."""


@dataclass(frozen=True, slots=True)
class SuspectDecision:
    """What a request may do, and why.

    Attributes:
        restriction: what it may do.
        digest: the digest that decided.
        crashes: servers that ended under it since it was answered last.
        wait_ms: time until its next trial, if it is held back.
    """

    restriction: Restriction
    digest: bytes = b""
    crashes: tuple[str, ...] = ()
    wait_ms: float = 0.0


UNRESTRICTED = SuspectDecision(Restriction.FREE)


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """What one host tells another of a suspect; ages pass between clocks.

    Attributes:
        digest: digest of the request.
        end_ages_ms: age of each end by its name.
        answered_age_ms: age of the answer that cleared it; None without one.
    """

    digest: bytes
    crash_ages_ms: Mapping[str, float]
    answered_age_ms: float | None = None


@dataclass(slots=True)
class _Suspect:
    ends: dict[str, float] = field(default_factory=dict)
    answered_ms: float = -math.inf
    change: int = 0

    def counted(self) -> list[tuple[float, str]]:
        """Return the ends since the last answer, by time."""
        return sorted(
            (at_ms, name)
            for name, at_ms in self.ends.items()
            if at_ms > self.answered_ms
        )


class CrashSuspects:
    """The suspects that a host knows of.

    A union of what all hosts tell: an end has one name, which the sidecar beside the
    server gives it, so told twice, late or by several hosts it counts once. No host
    decides for others, and two zones that were cut off agree once they have talked.
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

        Nearly all aren't, and needn't be digested.
        """
        return bool(self._tags) and path_tag(target) in self._tags

    def record_crash(self, digests: Digests, end: str, now_ms: float) -> bool:
        """Note that a server's process ended while it ran a request.

        Args:
            digests: the request's digests.
            end: name of the end, the same for all requests that ran there.
            now_ms: monotonic time.

        Returns:
            Whether that is news.
        """
        news = [self._add_end(digest, end, now_ms) for digest in digests]
        return any(news)

    def record_answer(self, digests: Digests, now_ms: float) -> bool:
        """Clear a request that a server has run to its end.

        Returns:
            Whether that is news.
        """
        news = [self._clear(digest, now_ms) for digest in digests]
        return any(news)

    def decide(self, digests: Digests, now_ms: float) -> SuspectDecision:
        """Return what a request may do now."""
        judgements = (self._judge(digest, now_ms) for digest in digests)
        return max(judgements, key=lambda each: each.restriction, default=UNRESTRICTED)

    def restricted(self, now_ms: float) -> list[SuspectDecision]:
        """Return a judgement for each request that doesn't go its usual way."""
        judgements = (self._judge(digest, now_ms) for digest in self._suspects)
        return [each for each in judgements if each.restriction is not Restriction.FREE]

    def held_back(self, now_ms: float) -> list[SuspectDecision]:
        """Return a judgement for each request that is held back, or on trial."""
        restricted = self.restricted(now_ms)
        return [each for each in restricted if each.restriction >= Restriction.TRIAL]

    def reports(
        self, now_ms: float, *, after: int = 0, min_crashes: int = 0
    ) -> list[SuspectReport]:
        """Return what is known, for another host.

        Args:
            now_ms: monotonic time.
            after: number of the last change that the other one was told.
            min_crashes: leaves out suspects with fewer ends since their last answer.
        """
        return [
            _word(digest, suspect, now_ms)
            for digest, suspect in self._suspects.items()
            if suspect.change > after and len(suspect.counted()) >= min_crashes
        ]

    def merge_reports(self, words: Iterable[SuspectReport], now_ms: float) -> bool:
        """Take in what another host tells; return whether anything was news."""
        news = [self._take(word, now_ms) for word in words]
        return any(news)

    def evict_expired(self, now_ms: float) -> None:
        """Drop what is too old to matter."""
        for digest, suspect in list(self._suspects.items()):
            suspect.ends = {
                name: at_ms
                for name, at_ms in suspect.ends.items()
                if now_ms - at_ms < CRASH_RETENTION_MS
            }
            cleared = not suspect.counted()
            if cleared and now_ms - suspect.answered_ms >= CLEARED_RETENTION_MS:
                del self._suspects[digest]
        self._note_tags()

    def add_paused_time(self, stood_ms: float) -> None:
        """Add time that passed unknown to the clock to all ages."""
        for suspect in self._suspects.values():
            suspect.answered_ms -= stood_ms
            suspect.ends = {
                name: at_ms - stood_ms for name, at_ms in suspect.ends.items()
            }

    def _judge(self, digest: bytes, now_ms: float) -> SuspectDecision:
        suspect = self._suspects.get(digest)
        counted = suspect.counted() if suspect else []
        if len(counted) < CRASHES_TO_RUN_ALONE:
            return UNRESTRICTED
        names = tuple(name for _, name in counted)
        if len(counted) < CRASHES_TO_HOLD:
            return SuspectDecision(Restriction.ALONE, digest, names)
        times_ms = [at_ms for at_ms, _ in counted]
        wait_ms = times_ms[-1] + trial_delay_ms(times_ms) - now_ms
        standing = Restriction.HELD if wait_ms > 0 else Restriction.TRIAL
        return SuspectDecision(standing, digest, names, max(wait_ms, 0.0))

    def _add_end(self, digest: bytes, end: str, at_ms: float) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[digest] = _Suspect()
            self._tags.add(digest[:TAG_BYTES])
        known_ms = suspect.ends.get(end)
        # The earliest word is the nearest to the end itself: each way adds to it.
        suspect.ends[end] = at_ms if known_ms is None else min(known_ms, at_ms)
        if known_ms is not None:
            return False
        self._note_change(suspect)
        return True

    def _clear(self, digest: bytes, at_ms: float) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None or at_ms <= suspect.answered_ms:
            return False
        counted = suspect.counted()
        suspect.answered_ms = at_ms
        if not counted or counted[0][0] > at_ms:
            return False
        self._note_change(suspect)
        return True

    def _take(self, word: SuspectReport, now_ms: float) -> bool:
        ends = {
            name: age_ms
            for name, age_ms in word.crash_ages_ms.items()
            if 0 <= age_ms < CRASH_RETENTION_MS
        }
        added = [
            self._add_end(word.digest, name, now_ms - age_ms)
            for name, age_ms in ends.items()
        ]
        cleared = word.answered_age_ms is not None and self._clear(
            word.digest, now_ms - max(word.answered_age_ms, 0.0)
        )
        return any(added) or cleared

    def _note_change(self, suspect: _Suspect) -> None:
        suspect.change = self.last_change = next(self._changes)

    def _make_room(self) -> None:
        """Drop the least suspected when there are too many, the oldest first.

        Failure: a caller sends thousands of different requests that end servers, or
        servers end by the dozen. Without a bound that would take this host's memory.
        """
        if len(self._suspects) < MAX_SUSPECTS:
            return
        kept = sorted(self._suspects.items(), key=_weight, reverse=True)
        self._suspects = dict(kept[: int(MAX_SUSPECTS * KEPT_SHARE)])
        self._note_tags()

    def _note_tags(self) -> None:
        self._tags = {digest[:TAG_BYTES] for digest in self._suspects}


def trial_delay_ms(times_ms: list[float]) -> float:
    """Return the time from a request's last end to its next trial.

    Ends that come together count as one: they say no more of a request than that all
    servers were lost at once, which an innocent one that many send would share.

    Args:
        times_ms: times of its ends, in order, at least as many as hold it back.
    """
    later = itertools.pairwise(times_ms[CRASHES_TO_HOLD - 1 :])
    trials = sum(
        1 for before, after in later if after - before >= FIRST_TRIAL_DELAY_MS / 2
    )
    return min(FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR**trials, MAX_TRIAL_DELAY_MS)


def _word(digest: bytes, suspect: _Suspect, now_ms: float) -> SuspectReport:
    cleared = suspect.answered_ms > -math.inf
    return SuspectReport(
        digest=digest,
        crash_ages_ms={name: now_ms - at_ms for name, at_ms in suspect.ends.items()},
        answered_age_ms=now_ms - suspect.answered_ms if cleared else None,
    )


def _weight(item: tuple[bytes, _Suspect]) -> tuple[int, float]:
    counted = item[1].counted()
    return len(counted), max(item[1].ends.values(), default=-math.inf)
