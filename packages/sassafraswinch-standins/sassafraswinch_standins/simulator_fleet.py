"""Simulation of a fleet of sidecars over a call graph, on a simulated clock.

Admission, placement, queues, retries and the evaluation of outcomes are the code of
the sidecar. Sockets, frames and the platform are not simulated; a message takes a fixed
time.
"""

import itertools
import random
from functools import partial

from sassafraswinch.crash_suspects import Restriction
from sassafraswinch_sidecar.executor import Execution
from sassafraswinch_sidecar.ingress_admission import merge_claims
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.placement import capacities_of
from sassafraswinch_sidecar.relay import MAX_REFUSALS
from sassafraswinch_sidecar.relay_intake import Relay, admission_class
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    RelayRequest,
    RelayResponse,
    Verdict,
)
from sassafraswinch_sidecar.relay_requests import CHILD_WAIT_SHARE, ROOT_WAIT_SHARE
from sassafraswinch_sidecar.relay_retry_policy import MIN_RETRY_REMAINING_MS
from sassafraswinch_sidecar.retry_budget import sum_counts
from sassafraswinch_sidecar.server_choice import (
    choose_server,
    choose_server_for_suspect,
)
from sassafraswinch_sidecar.server_queue import QueuedRequest
from sassafraswinch_sidecar.slot_times import (
    add_slot_times,
    parse_slot_times,
    serialize_slot_times,
)
from sassafraswinch_sidecar.suspect_requests import (
    COPY_RUNS,
    HELD_BACK,
)
from sassafraswinch_sidecar.zone_aggregator import PAUSE_MS
from sassafraswinch_standins.simulator_callers import Caller, Tally
from sassafraswinch_standins.simulator_clock import Clock
from sassafraswinch_standins.simulator_crashes import (
    ServerCrashes,
    content_of,
    exchange_suspects,
)
from sassafraswinch_standins.simulator_host import Done, Host
from sassafraswinch_standins.simulator_limits import apply_response
from sassafraswinch_standins.simulator_load import Pattern, route_of

ZONES = 3
NEAR_MS, FAR_MS = 0.5, 1.4
"""Delay of a message within an availability zone and between two zones."""

SHED_MS = 0.5
"""Time that a backend server takes to refuse a request."""

WORK_TIME_SIGMA = 0.5
"""Sigma of the lognormal distribution of work times."""

TICK_MS = 20.0


class Simulation:
    """One run of a load pattern.

    Args:
        pattern: call graph and load.
        seed: seed of all random choices.
    """

    def __init__(self, *, pattern: Pattern, seed: int):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.pattern = pattern
        self.crashes = ServerCrashes(simulation=self)
        self._request_ids = itertools.count(1)
        self.tallies = {
            name: Tally() for name, kind in pattern.kinds.items() if kind.worth
        }
        self.routes = {name: route_of(name, k) for name, k in pattern.kinds.items()}
        instances = [
            (service, number)
            for service, group in pattern.services.items()
            for number in range(group.servers)
        ]
        self.ips = [f"10.0.0.{number}" for number in range(len(instances))]
        self.hosts = {
            ip: self._make_host(ip, service, number)
            for ip, (service, number) in zip(self.ips, instances, strict=True)
        }

    def now_ms(self) -> float:
        """Return the simulated time."""
        return self.clock.now_ms

    def run(self, seconds: float) -> None:
        """Run the load pattern."""
        for name in self.tallies:
            self._arrive(name)
        for host in self.hosts.values():
            self._tick(host)
        for zone in range(ZONES):
            self.clock.schedule(
                self.rng.uniform(0, PAUSE_MS),
                partial(_run_aggregation_round, self, zone),
            )
        self.crashes.schedule_faults()
        self.clock.run(seconds * 1000)

    def instances_of(self, service: str) -> list[Instance]:
        """Return the reachable instances of a service."""
        disturbances = self.pattern.of_service(service, self.now_ms())
        instances = (host.instance for host in self.hosts.values())
        of_service = [each for each in instances if each.service == service]
        return of_service[
            max(
                (disturbance.unreachable_servers for disturbance in disturbances),
                default=0,
            ) :
        ]

    def _make_host(self, ip: str, service: str, number: int) -> Host:
        group = self.pattern.services[service]
        instance = Instance(
            id=f"i-{ip}",
            service=service,
            ip=ip,
            port=1,
            availability_zone=f"zone-{number % ZONES}",
            slots=group.slots,
            leaving=False,
            cold_ms=0.0,
        )
        speed = group.speeds[number % len(group.speeds)]
        return Host(
            instance=instance,
            number=number,
            speed=speed,
            ips=self.ips,
            worths=self.pattern.worths,
            clock=self.clock,
            rng=self.rng,
        )

    def _arrive(self, name: str) -> None:
        kind = self.pattern.kinds[name]
        rate_per_s = kind.rate_per_s * self.pattern.load_at(self.now_ms())
        wait_ms = self.rng.expovariate(rate_per_s) * 1000
        self.clock.schedule(wait_ms, lambda: self._arrive(name))
        is_abusive = self.rng.random() < self.pattern.abuse_share(self.now_ms())
        Caller(
            kind=kind,
            send=partial(self._send, name, str(next(self._request_ids))),
            tally=self.tallies[name],
            clock=self.clock,
            rng=self.rng,
            is_abusive=is_abusive,
        )

    def _send(self, name: str, key: str, done: Done) -> None:
        host = self.hosts[self.rng.choice(self.ips)]
        self.receive_request(host, name, None, done, key)

    def _tick(self, host: Host) -> None:
        now_ms = self.now_ms()
        for queued in host.queue.pop_expired(now_ms):
            self.end(host, queued.item, Verdict.NOT_RUN, "queue-timeout")
        self._start_queued(host)
        if host.admission.is_due(now_ms):
            services = self.pattern.services
            reachable = itertools.chain.from_iterable(map(self.instances_of, services))
            capacities = capacities_of(reachable, host.loads.get)
            host.admission.decide_shares(capacities, now_ms, host.demand)
        self.clock.schedule(TICK_MS, lambda: self._tick(host))

    def receive_request(
        self, host: Host, name: str, parent: Execution | None, done: Done, key: str
    ) -> None:
        """Receive a request at a host; ``done`` is called once with its final status.

        The key stays the same when the caller or the parent execution retries.
        """
        kind, route = self.pattern.kinds[name], self.routes[name]
        deadline_ms = self.now_ms() + kind.timeout_ms
        of_class = "" if parent else admission_class(route, kind.service, None)
        relay = Relay(
            http=done,
            connection=host,
            route=route,
            service=kind.service,
            request_id=key,
            headers=b"",
            deadline_ms=min(deadline_ms, parent.deadline_ms) if parent else deadline_ms,
            priority=parent.request.priority if parent else kind.priority,
            level=parent.request.level if parent else host.levels.draw(of_class),
            parent=parent,
            is_retry=parent is not None and parent.request.repeated,
            progress=parent.request.progress + parent.calls_done + 1 if parent else 0,
            admission_class=of_class,
        )
        if parent is None:
            host.admission.record_arrival(of_class, kind.priority)
            blocking = host.admission.find_blocking_service(of_class, relay.level)
            if blocking is not None and not host.admission.admits_trial(of_class):
                done(503)
                return
        self._place(host, relay)

    def _place(self, host: Host, relay: Relay) -> None:
        now_ms = self.now_ms()
        judgement = self.crashes.judge(host, relay.request_id)
        if judgement.restriction is Restriction.HELD:
            self._refuse(host, relay)
            return
        remaining_ms = relay.deadline_ms - now_ms
        instance = None
        if (
            remaining_ms >= MIN_RETRY_REMAINING_MS
            and relay.placements - relay.offers < MAX_REFUSALS
        ):
            instances = self.instances_of(relay.service)
            if judgement.restriction is Restriction.FREE:
                instance = choose_server(host.placement, relay, instances, now_ms)
            else:
                instance = choose_server_for_suspect(
                    host.placement, relay, instances, now_ms, judgement
                )
        if instance is None:
            self._refuse(host, relay)
            return
        relay.placements += 1
        relay.tried.add(instance.identity)
        is_child = relay.parent is not None
        span_ms = remaining_ms if is_child else relay.route.target_latency_ms
        wait_ms = span_ms * (CHILD_WAIT_SHARE if is_child else ROOT_WAIT_SHARE)
        host.repeats.record_sent(relay)
        host.loads[instance.ip].sent_since_report += 1
        content = content_of(relay.request_id)
        request = RelayRequest(
            request_id=relay.request_id,
            method=content.method,
            target=content.target,
            headers=content.headers,
            body=content.body,
            remaining_ms=int(remaining_ms),
            max_wait_ms=int(wait_ms),
            priority=relay.priority,
            level=relay.level,
            inner=is_child,
            repeated=relay.is_retry,
            progress=relay.progress,
            last=not is_child
            and host.admission.uses_only(relay.admission_class, relay.service),
        )
        execution = Execution(
            request=request,
            reply=lambda response: self._handle_response(
                host, relay, instance, response
            ),
            owner=relay.route.name,
            deadline_ms=relay.deadline_ms,
        )
        target = self.hosts[instance.ip]
        self.clock.schedule(
            _message_delay_ms(host, target), lambda: self._submit(target, execution)
        )

    def _submit(self, host: Host, execution: Execution) -> None:
        now_ms = self.now_ms()
        request = execution.request
        execution.queue_entry = QueuedRequest(
            execution,
            request.inner,
            request.priority,
            now_ms + min(request.max_wait_ms, request.remaining_ms),
            request.progress,
            request.last,
        )
        refusal = self.crashes.refusal(host, request)
        if refusal or not host.up:
            self.end(host, execution, Verdict.NOT_RUN, refusal or "server-down")
            return
        if not host.queue.enqueue(execution.queue_entry, now_ms):
            self.end(host, execution, Verdict.NOT_RUN, "overloaded")
            return
        host.executions.add(execution)
        self._start_queued(host)

    def _start_queued(self, host: Host) -> None:
        for queued in host.queue.pop_startable(self.now_ms()):
            self._run(host, queued.item)

    def _run(self, host: Host, execution: Execution) -> None:
        execution.offered = True
        host.starts_ms.append(self.now_ms())
        disturbances = self.pattern.of_service(host.instance.service, self.now_ms())
        if self.rng.random() < max((s.shed_share for s in disturbances), default=0.0):
            refuse = lambda: self.end(host, execution, Verdict.NOT_RUN, "server-shed")  # noqa: E731
            self.clock.schedule(SHED_MS, refuse)
            return
        self.crashes.handle_start(host, execution)
        kind = self.pattern.kinds[execution.owner]
        mean_ms = (
            kind.work_ms
            * host.speed
            * max((s.work_time_factor for s in disturbances), default=1)
        )
        work_ms = mean_ms * self.rng.lognormvariate(
            -(WORK_TIME_SIGMA**2) / 2, WORK_TIME_SIGMA
        )
        calls = [call for call in kind.calls for _ in range(call.times)]
        in_parallel = any(call.in_parallel for call in kind.calls)
        remaining_calls = [call.kind for call in calls]

        def make_next_calls() -> None:
            if execution.ended:
                return
            batch = remaining_calls[:] if in_parallel else remaining_calls[:1]
            del remaining_calls[: len(batch)]
            if not batch or self.now_ms() > execution.deadline_ms:
                self._finish_run(host, execution, 200)
                return
            pending = len(batch)
            worst_status = 200

            def handle_call_end(status: int) -> None:
                nonlocal pending, worst_status
                pending -= 1
                worst_status = max(worst_status, status)
                if pending:
                    return
                if worst_status == 200:
                    make_next_calls()
                else:
                    self._finish_run(host, execution, 500)

            for number, name in enumerate(batch):
                key = f"{execution.request.request_id}/{len(remaining_calls)}.{number}"
                self.receive_request(host, name, execution, handle_call_end, key)

        self.clock.schedule(work_ms, make_next_calls)

    def _finish_run(self, host: Host, execution: Execution, status: int) -> None:
        if execution.ended:
            return
        is_late = self.now_ms() > execution.deadline_ms
        if not is_late and status == 200:
            host.suspect_requests.record_answer(execution.request)
        self.end(host, execution, Verdict.ANSWERED, "", 504 if is_late else status)

    def end(
        self, host: Host, execution: Execution, verdict: int, reason: str, status=0
    ) -> None:
        """End an execution and send the response to its owner."""
        if execution.ended:
            return
        host.executions.discard(execution)
        queued, now_ms = execution.queue_entry, self.now_ms()
        if queued.started_at_ms is not None:
            service = host.instance.service
            held_ms = host.queue.release_slot(queued, now_ms)
            add_slot_times(execution.slot_ms, {service: held_ms})
        execution.ended = True
        if execution.offered and verdict != Verdict.MAY_HAVE_RUN:
            apply_response(self.pattern, host, now_ms)
        self._start_queued(host)
        response = RelayResponse(
            verdict=verdict,
            status=status,
            body=b"",
            reason=reason,
            offered=execution.offered,
            slot_times=serialize_slot_times(execution.slot_ms),
            load=host.load(),
            repeats_spent=execution.repeats_spent,
        )
        self.clock.schedule(NEAR_MS, lambda: execution.reply(response))

    def _handle_response(
        self, host: Host, relay: Relay, instance: Instance, response: RelayResponse
    ) -> None:
        load = host.loads[instance.ip]
        load.apply_report(response.load, self.now_ms())
        add_slot_times(relay.slot_ms, parse_slot_times(response.slot_times))
        if response.offered:
            relay.offers += 1
            relay.offered_to.add(instance.identity)
        relay.repeats_spent = relay.repeats_spent or response.repeats_spent
        host.repeats.record_downstream_services(relay)
        host.outcomes.record_execution(relay, response, load)
        if response.verdict == Verdict.ANSWERED:
            is_failed = response.status >= 500
            if is_failed and host.repeats.allows_retry_of_failed(relay):
                self._retry(host, relay)
                return
            if not is_failed:
                host.suspect_requests.record_answer(content_of(relay.request_id))
            host.outcomes.record_response(relay, response)
            self._complete(relay, response.status)
        elif response.verdict == Verdict.MAY_HAVE_RUN:
            if host.repeats.allows_retry_of_failed(relay):
                self._retry(host, relay)
            else:
                host.outcomes.record_failure(relay)
                self._complete(relay, 502)
        elif response.reason in (HELD_BACK, COPY_RUNS):
            self._refuse(host, relay)
        elif not response.offered:
            self._place(host, relay)
        elif host.repeats.allows_retry_of_unexecuted(relay):
            self._retry(host, relay)
        else:
            self._refuse(host, relay)

    def _retry(self, host: Host, relay: Relay) -> None:
        relay.begin_retry()
        self._place(host, relay)

    def _refuse(self, host: Host, relay: Relay) -> None:
        host.outcomes.record_failure(relay)
        self._complete(relay, 503)

    def _complete(self, relay: Relay, status: int) -> None:
        relay.ended = True
        parent = relay.parent
        if parent is not None and not parent.ended:
            parent.calls_done += 1
            parent.repeats_spent = parent.repeats_spent or relay.repeats_spent
            add_slot_times(parent.slot_ms, relay.slot_ms)
        relay.http(status)


def _run_aggregation_round(simulation: Simulation, zone: int) -> None:
    """Run one aggregation round: send the hosts of a zone all loads and totals.

    On the users' platform, loads of other zones and totals are one round old; here
    they are sent without that delay.
    """
    now_ms = simulation.now_ms()
    hosts = simulation.hosts.values()
    demand = merge_claims(host.admission.demand(now_ms) for host in hosts)
    counts = sum_counts(host.budget.window_counts(now_ms) for host in hosts)
    exchange_suspects(f"zone-{zone}", hosts, now_ms)
    for host in hosts:
        if host.instance.availability_zone != f"zone-{zone}":
            continue
        host.demand = demand
        host.totals = counts, len(simulation.hosts)
        for ip, peer in simulation.hosts.items():
            host.loads[ip].apply_report(peer.load(), now_ms)
    simulation.clock.schedule(
        PAUSE_MS, partial(_run_aggregation_round, simulation, zone)
    )


def _message_delay_ms(one: Host, other: Host) -> float:
    same_zone = one.instance.availability_zone == other.instance.availability_zone
    return NEAR_MS if same_zone else FAR_MS
