"""Seeded random faults and load on an in-memory fleet."""

from sassafraswinch_standins.memory_document import OPERATIONS
from sassafraswinch_standins.memory_fleet import CONVERGE_MS, ZONES, Fleet

STEP_RANGE_MS = (5.0, 400.0)
"""Minimum and maximum time between two actions."""
ACTIONS_PER_ROUND = 60
"""Actions before all faults of a round are repaired."""
SETTLE_MS = 20_000.0
"""Simulated time after a repair in which delayed frames arrive and could start
calls."""
SURGE_CALLS = 60


class Chaos:
    """Random choice of the next requests and faults of a fleet."""

    def __init__(self, *, fleet: Fleet):
        self.fleet = fleet
        self.rng = fleet.schedule.rng
        self._faults = (
            self._kill,
            self._restart,
            self._pause,
            self._wake,
            self._silence,
            self._cut,
            self._heal,
            self._platform,
            self._publish,
            self._backend,
            self._leave,
            self._surge,
        )

    def run_round(self) -> None:
        """Run one round of load and faults, then repair all and check the fleet."""
        for _ in range(ACTIONS_PER_ROUND):
            self._load()
            if self.rng.random() < 0.5:
                self.rng.choice(self._faults)()
            self.fleet.run_for(self.rng.uniform(*STEP_RANGE_MS))
        self.fleet.repair(stale_ms=self.rng.choice((0.0, 5_000.0)))
        self.fleet.run_for(CONVERGE_MS)
        self.fleet.check_converged()
        self.fleet.run_for(SETTLE_MS - CONVERGE_MS)
        self.fleet.check_quiet()

    def _load(self) -> None:
        for _ in range(self.rng.randrange(6)):
            self.call()

    def call(self) -> None:
        """Start one random request."""
        callers = self.fleet.callers
        impatient = self.rng.random() < 0.1
        demand = callers.call(
            self.rng.choice([name for name, *_ in OPERATIONS]),
            organisation=self.rng.choice(("acme", "brnovar", "zkusebna", "unknown")),
            repeats=self.rng.randrange(4),
            patience_ms=self.rng.uniform(1, 300) if impatient else None,
        )
        if self.rng.random() < 0.3:
            later_ms = self.rng.choice((1, 50, 500, 2_000, 6_000, 15_000))
            self.fleet.schedule.after(later_ms, lambda: callers.retry(demand))

    def _random_host(self) -> str:
        return self.rng.choice(sorted(self.fleet.records))

    def _kill(self) -> None:
        self.fleet.kill(self._random_host(), quiet=self.rng.random() < 0.4)

    def _restart(self) -> None:
        for host in self.fleet.records:
            if self.rng.random() < 0.7:
                self.fleet.restart(host)

    def _pause(self) -> None:
        host = self._random_host()
        self.fleet.pause(host)
        later_ms = self.rng.choice((300, 2_500, 8_000))
        self.fleet.schedule.after(later_ms, lambda: self.fleet.resume(host))

    def _wake(self) -> None:
        for host in self.fleet.records:
            self.fleet.resume(host)

    def _silence(self) -> None:
        first, second = self.rng.sample(sorted(self.fleet.records), 2)
        inject = self.rng.choice(
            (self.fleet.silence, self.fleet.silence_outward, self.fleet.swallow)
        )
        inject(first, second)
        later_ms = self.rng.choice((200, 2_000, 5_000, 9_000))
        self.fleet.schedule.after(later_ms, self.fleet.release)

    def _cut(self) -> None:
        zones = self.rng.sample((*ZONES, "platform"), self.rng.randrange(1, 3))
        self.fleet.cut_zones(*zones)

    def _heal(self) -> None:
        self.fleet.heal_zones()

    def _platform(self) -> None:
        platform = self.fleet.platform
        if platform.is_down or platform.stale_by or platform.list_is_empty:
            platform.repair()
            return
        self.rng.choice(
            (
                self.fleet.platform_down,
                self.fleet.platform_stale,
                self.fleet.platform_empty,
            )
        )()

    def _publish(self) -> None:
        self.rng.choice(
            (
                self.fleet.publish,
                self.fleet.publish,
                self.fleet.publish_again,
                self.fleet.publish_invalid,
                self.fleet.publish_back,
            )
        )()

    def _backend(self) -> None:
        host = self._random_host()
        faults = self.fleet.backends[host].faults
        kind = self.rng.choice(("slow", "shed", "die", "unreachable", "impatient"))
        self.fleet.record_backend_fault(kind, host)
        faults.slow_factor = 30.0 if kind == "slow" else 1.0
        faults.shed_share = 0.5 if kind == "shed" else 0.0
        faults.crash_share = 0.5 if kind == "die" else 0.0
        faults.unreachable = kind == "unreachable"
        faults.early_retry_share = 0.5 if kind == "impatient" else 0.0

    def _leave(self) -> None:
        self.fleet.leave(self._random_host())

    def _surge(self) -> None:
        self.fleet.record_surge()
        for _ in range(SURGE_CALLS):
            self.call()
