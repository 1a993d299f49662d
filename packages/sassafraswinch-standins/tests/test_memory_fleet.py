"""Stateful property test: random calls, retries and faults on an in-memory fleet."""

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from sassafraswinch_standins.memory_document import OPERATIONS, ORGANISATIONS
from sassafraswinch_standins.memory_fleet import CONVERGE_MS, HOSTS, ZONES, Fleet

SETTLED_MS = 4_000
LATE_FRAMES_MS = 12_000
"""Time after the repair within which delayed frames could still start calls."""

HOST_NAMES = sorted(
    f"{service}-{zone[-1]}" for service, zones in HOSTS.items() for zone in zones
)
hosts = st.sampled_from(HOST_NAMES)
pairs = st.tuples(hosts, hosts).filter(lambda pair: pair[0] != pair[1])
operations = st.sampled_from([operation for operation, *_ in OPERATIONS])
organisations = st.sampled_from([*ORGANISATIONS, "unknown"])
loads = st.lists(st.tuples(operations, hosts, st.integers(0, 2)), max_size=4)
leads_ms = st.sampled_from((1, 4, 8, 30))
pauses_ms = st.sampled_from((1, 10, 100, 1_000, 3_500))


class FleetMachine(RuleBasedStateMachine):
    """State machine over a fleet, which raises when an invariant is violated.

    Each fault is injected ``lead_ms`` after some calls have started, so that they are
    in transit, queued or running; then the clock advances.
    """

    @initialize(
        seed=st.integers(0, 3),
        sparse=st.booleans(),
        slow_factor=st.sampled_from((1.0, 6.0, 25.0)),
    )
    def start(self, seed, sparse, slow_factor):
        self.fleet = Fleet(seed=seed, sparse=sparse)
        self.fleet.run_for(SETTLED_MS)
        for backend in self.fleet.backends.values():
            backend.faults.slow_factor = slow_factor

    def start_load(self, load, lead_ms):
        for operation, host, repeats in load:
            self.fleet.callers.call(operation, host=host, repeats=repeats)
        self.fleet.run_for(lead_ms)

    @rule(load=loads, pause_ms=pauses_ms)
    def call(self, load, pause_ms):
        self.start_load(load, pause_ms)

    @rule(operation=operations, host=hosts, patience_ms=st.integers(1, 300))
    def call_and_hang_up(self, operation, host, patience_ms):
        self.fleet.callers.call(operation, host=host, patience_ms=patience_ms)

    @precondition(lambda self: self.fleet.callers.demands)
    @rule(back=st.integers(1, 12), lead_ms=leads_ms)
    def repeat_through_another_node(self, back, lead_ms):
        demands = self.fleet.callers.demands
        self.fleet.callers.retry(demands[-min(back, len(demands))])
        self.fleet.run_for(lead_ms)

    @rule(operation=operations, organisation=organisations)
    def surge(self, operation, organisation):
        self.fleet.record_surge()
        for _ in range(30):
            self.fleet.callers.call(operation, organisation=organisation, repeats=2)

    @rule(load=loads, lead_ms=leads_ms, host=hosts, quiet=st.booleans())
    def kill(self, load, lead_ms, host, quiet):
        self.start_load(load, lead_ms)
        self.fleet.kill(host, quiet=quiet)

    @rule(load=loads, lead_ms=leads_ms, host=hosts, pause_ms=pauses_ms)
    def restart(self, load, lead_ms, host, pause_ms):
        self.start_load(load, lead_ms)
        self.fleet.kill(host)
        self.fleet.restart(host)
        self.fleet.run_for(pause_ms)

    @rule(load=loads, lead_ms=leads_ms, host=hosts, pause_ms=pauses_ms)
    def pause(self, load, lead_ms, host, pause_ms):
        self.start_load(load, lead_ms)
        self.fleet.pause(host)
        self.fleet.run_for(pause_ms)

    @rule(host=hosts)
    def wake(self, host):
        self.fleet.resume(host)

    @rule(
        how=st.sampled_from(("silence", "silence_outward", "swallow")),
        pair=pairs,
        load=loads,
        lead_ms=leads_ms,
        pause_ms=pauses_ms,
    )
    def lose_links(self, how, pair, load, lead_ms, pause_ms):
        getattr(self.fleet, how)(*pair)
        self.start_load(load, lead_ms)
        self.fleet.run_for(pause_ms)

    @rule()
    def release(self):
        self.fleet.release()

    @rule(
        load=loads,
        lead_ms=leads_ms,
        zones=st.sets(st.sampled_from((*ZONES, "platform")), min_size=1, max_size=2),
    )
    def cut_zones(self, load, lead_ms, zones):
        self.start_load(load, lead_ms)
        self.fleet.cut_zones(*sorted(zones))

    @rule()
    def heal_zones(self):
        self.fleet.heal_zones()

    @rule(fault=st.sampled_from(("platform_down", "platform_stale", "platform_empty")))
    def platform_fails(self, fault):
        getattr(self.fleet, fault)()

    @rule(
        kind=st.sampled_from(
            ("publish", "publish_again", "publish_invalid", "publish_back")
        ),
        pause_ms=pauses_ms,
    )
    def publish(self, kind, pause_ms):
        getattr(self.fleet, kind)()
        self.fleet.run_for(pause_ms)

    @rule(load=loads, lead_ms=leads_ms, host=hosts)
    def leave(self, load, lead_ms, host):
        self.start_load(load, lead_ms)
        self.fleet.leave(host)

    @rule(
        host=hosts,
        slow_factor=st.sampled_from((1.0, 10.0, 100.0)),
        shed_share=st.sampled_from((0.0, 0.5)),
        die_share=st.sampled_from((0.0, 0.5)),
        unreachable=st.booleans(),
    )
    def backend_fails(self, host, slow_factor, shed_share, die_share, unreachable):
        faults = self.fleet.backends[host].faults
        faults.slow_factor = slow_factor
        faults.shed_share = shed_share
        faults.crash_share = die_share
        faults.unreachable = unreachable

    @rule(duration_ms=st.sampled_from((5, 50, 400, 1_500, 5_000)))
    def time_passes(self, duration_ms):
        self.fleet.run_for(duration_ms)

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.repair(stale_ms=5_000)
        self.fleet.run_for(CONVERGE_MS)
        self.fleet.check_converged()
        self.fleet.run_for(LATE_FRAMES_MS)
        self.fleet.check_quiet()


FleetMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=50,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
TestFleet = FleetMachine.TestCase
