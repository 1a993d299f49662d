"""Exchange of crash suspects between sidecars."""

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
"""Greatest age on the wire; anything of nearly that age has expired long before."""

EXPIRY_INTERVAL_MS = 10_000.0
"""Time between checks for expired suspects, which are kept for a minute or more."""


class SuspectExchange:
    """Sends each peer the suspects it doesn't know, and merges those that peers send.

    Changes are sent in the rounds of the zone aggregators and so reach the whole fleet
    in three rounds, half a second in zones of up to sixteen hosts. Each link records
    the last change that it sent, so nothing is sent twice, and a new link starts with
    everything.

    Args:
        suspects: the suspects known to this host.
        now_ms: monotonic clock.
        on_local_change: called after a change that no other host knows of.
        on_received_change: called after a change that a peer sent.
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
        self._on_local_change = on_local_change
        self._on_received_change = on_received_change
        self._held: frozenset[bytes] = frozenset()
        self._scheduled: asyncio.Handle | None = None
        self._expiry_checked_ms = -math.inf

    def schedule_announcement(self) -> None:
        """Schedule one announcement of local changes.

        Dozens of requests are lost with a server, each of which is a change.
        """
        if self._scheduled is None:
            self._scheduled = asyncio.get_running_loop().call_soon(
                self._announce_changes
            )

    def discard_expired(self) -> None:
        """Discard expired suspects from time to time."""
        now_ms = self._now_ms()
        if now_ms - self._expiry_checked_ms >= EXPIRY_INTERVAL_MS:
            self._expiry_checked_ms = now_ms
            self._suspects.evict_expired(now_ms)

    def gauges(self) -> Mapping[str, float]:
        """Return the current gauges by name."""
        return {
            "crash_suspects": len(self._suspects),
            "requests_held_back": len(self._suspects.held_back(self._now_ms())),
        }

    def send_restricted(self, link: PeerLink) -> None:
        """Send a new peer the requests that must not run freely.

        Failure: a sidecar starts and gets requests before the next round reaches it. It
        would send a request that is held back everywhere else to its own server.
        """
        reports = self._suspects.reports(
            self._now_ms(), min_crashes=CRASHES_TO_RUN_ALONE
        )
        if reports and link.takes_suspects:
            link.send(serialize_suspect_reports(reports))

    def send_changes(self, link: PeerLink) -> None:
        """Send a peer the changes since the last ones sent to it."""
        if not link.takes_suspects:
            return
        last_change = self._suspects.last_change
        if link.suspects_sent_up_to == last_change:
            return
        reports = self._suspects.reports(self._now_ms(), after=link.suspects_sent_up_to)
        if not reports or link.send(serialize_suspect_reports(reports)):
            link.suspects_sent_up_to = last_change

    def merge_message(self, message: SuspectNews) -> None:
        """Merge the suspects that a peer sent."""
        if self._suspects.merge_reports(parse_suspect_reports(message), self._now_ms()):
            self._log_held()
            self._on_received_change()

    def _announce_changes(self) -> None:
        self._scheduled = None
        self._log_held()
        self._on_local_change()

    def _log_held(self) -> None:
        """Log each request that has become, or is no longer, held back."""
        held = {each.digest: each for each in self._suspects.held_back(self._now_ms())}
        for digest in held.keys() - self._held:
            _log_held_back(held[digest])
        for digest in self._held - held.keys():
            log_event("request_let_go", level="warning", digest=digest_text(digest))
        self._held = frozenset(held)


def serialize_suspect_reports(reports: list[SuspectReport]) -> SuspectNews:
    """Serialize reports on suspects."""
    return SuspectNews([_serialize_report(report) for report in reports])


def parse_suspect_reports(message: SuspectNews) -> list[SuspectReport]:
    """Parse reports on suspects."""
    return [
        SuspectReport(
            digest=suspect.digest,
            crash_ages_ms=dict(zip(suspect.ends, suspect.ages_ms, strict=False)),
            answered_age_ms=suspect.answered_age_ms,
        )
        for suspect in message.suspects
    ]


def _serialize_report(report: SuspectReport) -> Suspect:
    answered_ms = report.answered_age_ms
    return Suspect(
        digest=report.digest,
        ends=list(report.crash_ages_ms),
        ages_ms=[_wire_age_ms(age_ms) for age_ms in report.crash_ages_ms.values()],
        answered_age_ms=None if answered_ms is None else _wire_age_ms(answered_ms),
    )


def _wire_age_ms(age_ms: float) -> int:
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
