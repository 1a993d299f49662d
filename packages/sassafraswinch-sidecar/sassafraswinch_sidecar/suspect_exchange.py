"""Hands on what sidecars know of requests that ended servers."""

import asyncio
import math
from collections.abc import Callable, Mapping

from sassafraswinch.crash_suspects import (
    CRASHES_TO_RUN_ALONE,
    CrashSuspects,
    SuspectDecision,
    SuspectReport,
)
from sassafraswinch.request_digest import digest_text
from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.peer_link import PeerLink
from sassafraswinch_sidecar.relay_protocol.ttypes import Suspect, SuspectNews

MAX_WIRE_AGE_MS = 2**31 - 1
"""Greatest age on the wire; anything near it was forgotten long before."""

FORGET_MS = 10_000.0
"""Pause between looks for suspects that are too old: they live for a minute or more."""


class SuspectExchange:
    """Tells each peer what it wasn't told yet, and takes in what peers tell.

    News goes with the rounds of gatherers, so it crosses the fleet in three of them,
    half a second in zones of up to sixteen hosts. Each link has its own mark of what
    was told, so nothing is sent twice, and a new link begins with all.

    Args:
        suspects: what is known.
        now_ms: monotonic clock.
        on_local_change: called when this sidecar learnt something that nobody knows yet.
        on_received_change: called when a peer told something new.
    """

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        now_ms: Callable[[], float],
        on_local_change: Callable[[], None],
        on_received_change: Callable[[], None],
    ):
        self._suspects = suspects
        self._now_ms = now_ms
        self._learnt_here = on_local_change
        self._told_here = on_received_change
        self._held: frozenset[bytes] = frozenset()
        self._noted: asyncio.Handle | None = None
        self._forgot_ms = -math.inf

    def schedule_announcement(self) -> None:
        """Hand on soon what was learnt: dozens of requests are lost with a server."""
        if self._noted is None:
            self._noted = asyncio.get_running_loop().call_soon(self._hand_on)

    def discard_expired(self) -> None:
        """Forget now and then what is too old."""
        now_ms = self._now_ms()
        if now_ms - self._forgot_ms >= FORGET_MS:
            self._forgot_ms = now_ms
            self._suspects.evict_expired(now_ms)

    def gauges(self) -> Mapping[str, float]:
        """Return the figures of the moment by name."""
        return {
            "crash_suspects": len(self._suspects),
            "requests_held_back": len(self._suspects.held_back(self._now_ms())),
        }

    def send_restricted(self, link: PeerLink) -> None:
        """Tell a new peer at once which requests must not run freely.

        Failure: a sidecar starts and has callers before the next round reaches it; it
        would hand a request that is held back everywhere else to its own server.
        """
        words = self._suspects.reports(self._now_ms(), min_crashes=CRASHES_TO_RUN_ALONE)
        if words and link.takes_suspects:
            link.send(serialize_suspect_reports(words))

    def send_changes(self, link: PeerLink) -> None:
        """Tell a peer what is new since it was told last."""
        if not link.takes_suspects:
            return
        last_change = self._suspects.last_change
        if link.suspects_sent_up_to == last_change:
            return
        words = self._suspects.reports(self._now_ms(), after=link.suspects_sent_up_to)
        if not words or link.send(serialize_suspect_reports(words)):
            link.suspects_sent_up_to = last_change

    def merge_message(self, news: SuspectNews) -> None:
        """Take in what a peer tells."""
        if self._suspects.merge_reports(parse_suspect_reports(news), self._now_ms()):
            self._log_held()
            self._told_here()

    def _hand_on(self) -> None:
        self._noted = None
        self._log_held()
        self._learnt_here()

    def _log_held(self) -> None:
        """Tell of each request that begins or ceases to be held back."""
        held = {each.digest: each for each in self._suspects.held_back(self._now_ms())}
        for digest in held.keys() - self._held:
            _log_held_back(held[digest])
        for digest in self._held - held.keys():
            log_event("request_let_go", level="warning", digest=digest_text(digest))
        self._held = frozenset(held)


def serialize_suspect_reports(words: list[SuspectReport]) -> SuspectNews:
    """Write what is told of suspects."""
    return SuspectNews([_serialize_word(word) for word in words])


def parse_suspect_reports(news: SuspectNews) -> list[SuspectReport]:
    """Read what is told of suspects."""
    return [
        SuspectReport(
            digest=told.digest,
            crash_ages_ms=dict(zip(told.ends, told.ages_ms, strict=False)),
            answered_age_ms=told.answered_age_ms,
        )
        for told in news.suspects
    ]


def _serialize_word(word: SuspectReport) -> Suspect:
    answered_ms = word.answered_age_ms
    return Suspect(
        digest=word.digest,
        ends=list(word.crash_ages_ms),
        ages_ms=[_wire_age(age_ms) for age_ms in word.crash_ages_ms.values()],
        answered_age_ms=None if answered_ms is None else _wire_age(answered_ms),
    )


def _wire_age(age_ms: float) -> int:
    return min(max(int(age_ms), 0), MAX_WIRE_AGE_MS)


def _log_held_back(judged: SuspectDecision) -> None:
    log_event(
        "request_held_back",
        level="warning",
        digest=digest_text(judged.digest),
        ends=len(judged.crashes),
        servers=",".join(judged.crashes),
        standing=judged.restriction.name.lower(),
        trial_in_ms=judged.wait_ms,
    )
