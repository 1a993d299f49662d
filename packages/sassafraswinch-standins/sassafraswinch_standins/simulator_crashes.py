"""Servers of the simulator that end, by themselves or under a request, and suspects."""

import itertools
import random
from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from sassafraswinch.crash_suspects import Restriction, SuspectDecision
from sassafraswinch.request_digest import RequestContent, digest_request
from sassafraswinch_sidecar.executor import Execution
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest, Verdict
from sassafraswinch_sidecar.suspect_requests import HELD_BACK
from sassafraswinch_standins.simulator_clock import Clock
from sassafraswinch_standins.simulator_host import Done, Host
from sassafraswinch_standins.simulator_load import Pattern

DOWN_MS = 2_000.0
"""Time after which a server that has ended runs again."""

FATAL_RUN_MS = (30.0, 120.0)
"""Shortest and longest run of a request that ends its server."""

FATAL = "fatal"
"""Key of the request that ends servers; those of others are numbers."""


class CrashingFleet(Protocol):
    """What servers that end need of the run that they are part of."""

    rng: random.Random
    clock: Clock
    pattern: Pattern
    hosts: Mapping[str, Host]
    ips: Sequence[str]

    def now_ms(self) -> float:
        """Return the simulated time."""

    def end(self, host: Host, execution: Execution, verdict: int, reason: str) -> None:
        """End an execution and tell its owner."""

    def enter(
        self, host: Host, name: str, parent: Execution | None, done: Done, key: str
    ) -> None:
        """Take a request at a host."""


def content_of(key: str) -> RequestContent:
    """Return what the caller of a simulated request sends, each time."""
    return RequestContent("GET", key.encode(), b"", b"")


class ServerCrashes:
    """Ends servers, and counts what that costs.

    Attributes:
        ended: servers that ended.
        fatal_sent: fatal requests that were sent.
        held: innocent requests that were held back, by key.
    """

    def __init__(self, *, simulation: CrashingFleet):
        self.ended = 0
        self.fatal_sent = 0
        self.held: set[str] = set()
        self._simulation = simulation
        self._names = itertools.count(1)

    def begin(self) -> None:
        """Start what the pattern's spells bring."""
        for spell in self._simulation.pattern.spells:
            for per_s, act in (
                (spell.crashes_per_s, self._crash_any),
                (spell.fatal_per_s, self._send_fatal),
            ):
                if per_s:
                    self._after(spell.from_s * 1000, spell, per_s, act)

    def runs(self, host: Host, execution: Execution) -> None:
        """Let a fatal request end its server soon after it began to run."""
        if execution.request.request_id == FATAL:
            wait_ms = self._simulation.rng.uniform(*FATAL_RUN_MS)
            self._simulation.clock.after(
                wait_ms, lambda: self._ends_under(host, execution)
            )

    def judge(self, host: Host, key: str) -> SuspectDecision:
        """Return what a request may do, as a host knows."""
        judged = host.suspect_requests.decide(content_of(key))
        if judged.restriction is Restriction.HELD:
            self._note_held(key)
        return judged

    def refusal(self, host: Host, request: RelayRequest) -> str:
        """Return why the last gate keeps a request from a host's server."""
        refusal = host.gate.refusal_reason(request)
        if refusal == HELD_BACK:
            self._note_held(request.request_id)
        return refusal

    def _note_held(self, key: str) -> None:
        if key != FATAL:
            self.held.add(key)

    def crash(self, host: Host) -> None:
        """End the server's process; another one starts in its place."""
        if not host.up:
            return
        self.ended += 1
        host.up = False
        name = f"i-{next(self._names)}"
        for execution in list(host.executions):
            began = execution.queue_entry.started_at_ms is not None
            if began:
                digests = digest_request(execution.request)
                host.suspect_requests.record_crash(digests, name)
            else:
                host.queue.withdraw(execution.queue_entry)
            verdict = Verdict.MAY_HAVE_RUN if began else Verdict.NOT_RUN
            self._simulation.end(host, execution, verdict, "server-ended")
        self._simulation.clock.after(DOWN_MS, lambda: setattr(host, "up", True))

    def _ends_under(self, host: Host, execution: Execution) -> None:
        if not execution.ended:
            self.crash(host)

    def _after(self, wait_ms, spell, per_s, act) -> None:
        def again() -> None:
            if spell.holds(self._simulation.now_ms()):
                act(spell.service)
                gap_ms = self._simulation.rng.expovariate(per_s) * 1000
                self._after(gap_ms, spell, per_s, act)

        self._simulation.clock.after(wait_ms, again)

    def _crash_any(self, service: str) -> None:
        hosts = [
            host
            for host in self._simulation.hosts.values()
            if host.instance.service == service
        ]
        self.crash(self._simulation.rng.choice(hosts))

    def _send_fatal(self, service: str) -> None:
        kinds = self._simulation.pattern.kinds.items()
        name = next(n for n, k in kinds if k.service == service and k.worth)
        host = self._simulation.hosts[self._simulation.rng.choice(self._simulation.ips)]
        self.fatal_sent += 1
        self._simulation.enter(host, name, None, lambda status: None, FATAL)


def tell_suspects(zone: str, hosts: Iterable[Host], now_ms: float) -> None:
    """Tell the hosts of a zone what all hosts learnt since its last round."""
    tellers = [
        host for host in hosts if host.told.get(zone) != host.suspects.last_change
    ]
    for teller in tellers:
        words = teller.suspects.reports(now_ms, after=teller.told.get(zone, 0))
        teller.told[zone] = teller.suspects.last_change
        for host in hosts:
            if host.instance.availability_zone == zone:
                host.suspects.merge_reports(words, now_ms)
