"""Simulated crashes of backend servers, and the suspect requests they lead to."""

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
"""Time from the crash of a backend server until it runs again."""

FATAL_RUN_TIME_MS = (30.0, 120.0)
"""Shortest and longest run time of a fatal request before its server crashes."""

FATAL = "fatal"
"""Key of the request that crashes backend servers; other keys begin with a number."""


class CrashingFleet(Protocol):
    """Interface of the simulation that ``ServerCrashes`` uses."""

    rng: random.Random
    clock: Clock
    pattern: Pattern
    hosts: Mapping[str, Host]
    ips: Sequence[str]

    def now_ms(self) -> float:
        """Return the simulated time."""

    def end(self, host: Host, execution: Execution, verdict: int, reason: str) -> None:
        """End an execution and send the response to its owner."""

    def receive_request(
        self, host: Host, name: str, parent: Execution | None, done: Done, key: str
    ) -> None:
        """Receive a request at a host."""


def content_of(key: str) -> RequestContent:
    """Return the content of a simulated request, which is the same in each retry."""
    return RequestContent("GET", key.encode(), b"", b"")


class ServerCrashes:
    """Crashes backend servers and counts the effects.

    Attributes:
        crash_count: number of crashes.
        fatal_sent: number of fatal requests sent.
        innocent_held_back: keys of non-fatal requests that were held back.
    """

    def __init__(self, *, simulation: CrashingFleet):
        self.crash_count = 0
        self.fatal_sent = 0
        self.innocent_held_back: set[str] = set()
        self._simulation = simulation
        self._crash_numbers = itertools.count(1)

    def schedule_faults(self) -> None:
        """Schedule the crashes and fatal requests of the load pattern."""
        for disturbance in self._simulation.pattern.disturbances:
            for per_s, action in (
                (disturbance.crashes_per_s, self._crash_random_server),
                (disturbance.fatal_per_s, self._send_fatal_request),
            ):
                if per_s:
                    self._schedule(
                        disturbance.from_s * 1000, disturbance, per_s, action
                    )

    def handle_start(self, host: Host, execution: Execution) -> None:
        """Schedule the server's crash if the request that starts on it is fatal."""
        if execution.request.request_id == FATAL:
            wait_ms = self._simulation.rng.uniform(*FATAL_RUN_TIME_MS)
            self._simulation.clock.schedule(
                wait_ms, lambda: self._crash_under(host, execution)
            )

    def judge(self, host: Host, key: str) -> SuspectDecision:
        """Return how a host restricts a request, and count it if it is held back."""
        judgement = host.suspect_requests.decide(content_of(key))
        if judgement.restriction is Restriction.HELD:
            self._record_held(key)
        return judgement

    def refusal(self, host: Host, request: RelayRequest) -> str:
        """Return why a host's gate refuses a request; empty if it is admitted."""
        refusal = host.gate.refusal_reason(request)
        if refusal == HELD_BACK:
            self._record_held(request.request_id)
        return refusal

    def _record_held(self, key: str) -> None:
        if key != FATAL:
            self.innocent_held_back.add(key)

    def crash(self, host: Host) -> None:
        """End the server's process; it restarts after ``DOWN_MS``."""
        if not host.up:
            return
        self.crash_count += 1
        host.up = False
        instance_id = f"i-{next(self._crash_numbers)}"
        for execution in list(host.executions):
            was_started = execution.queue_entry.started_at_ms is not None
            if was_started:
                digests = digest_request(execution.request)
                host.suspect_requests.record_crash(digests, instance_id)
            else:
                host.queue.withdraw(execution.queue_entry)
            verdict = Verdict.MAY_HAVE_RUN if was_started else Verdict.NOT_RUN
            self._simulation.end(host, execution, verdict, "server-ended")
        self._simulation.clock.schedule(DOWN_MS, lambda: setattr(host, "up", True))

    def _crash_under(self, host: Host, execution: Execution) -> None:
        if not execution.ended:
            self.crash(host)

    def _schedule(self, wait_ms, disturbance, per_s, action) -> None:
        def act_and_reschedule() -> None:
            if disturbance.is_active(self._simulation.now_ms()):
                action(disturbance.service)
                gap_ms = self._simulation.rng.expovariate(per_s) * 1000
                self._schedule(gap_ms, disturbance, per_s, action)

        self._simulation.clock.schedule(wait_ms, act_and_reschedule)

    def _crash_random_server(self, service: str) -> None:
        hosts = [
            host
            for host in self._simulation.hosts.values()
            if host.instance.service == service
        ]
        self.crash(self._simulation.rng.choice(hosts))

    def _send_fatal_request(self, service: str) -> None:
        kinds = self._simulation.pattern.kinds.items()
        name = next(n for n, k in kinds if k.service == service and k.worth)
        host = self._simulation.hosts[self._simulation.rng.choice(self._simulation.ips)]
        self.fatal_sent += 1
        self._simulation.receive_request(host, name, None, lambda status: None, FATAL)


def exchange_suspects(zone: str, hosts: Iterable[Host], now_ms: float) -> None:
    """Send the hosts of a zone the suspects that changed since its last round."""
    changed_hosts = [
        host
        for host in hosts
        if host.last_reported.get(zone) != host.suspects.last_change
    ]
    for sender in changed_hosts:
        reports = sender.suspects.reports(
            now_ms, after=sender.last_reported.get(zone, 0)
        )
        sender.last_reported[zone] = sender.suspects.last_change
        for host in hosts:
            if host.instance.availability_zone == zone:
                host.suspects.merge_reports(reports, now_ms)
