"""Scenarios of the overload benchmark: load phases, and faults injected in them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sassafraswinch_standins.caller_settings import Phase, Retries, RetryMode
from sassafraswinch_standins.figures import Timeline
from sassafraswinch_standins.fleet import Fleet

WARM_UP_MS = 3_000.0
"""Duration of the unmeasured load in which nodes adapt their limits."""

BASELINE_MS = 3_000.0
"""Duration of the baseline measurement."""

DISTURBANCE_MS = 6_000.0
"""Default duration of a disturbance: a load surge, a slowdown or a fault."""

RECOVERY_MS = 9_000.0
"""Duration of the load after the disturbance, for the recovery."""

LOAD_SHARE = 0.55
"""Normal load as a share of the capacity of the graph."""

SURGE_FACTOR = 3.0
SLOW_FACTOR = 5.0
DEEPEST_SERVICE = "archiv"

CUT_ZONE = "ostrava-c"
RESTARTED_HOST = "schvaleni-1"
SILENT_HOST = "archiv-1"

IMMEDIATE_RETRIES = Retries(limit=5, mode=RetryMode.IMMEDIATE, pause_ms=20)
HINTED_RETRIES = Retries(limit=5, mode=RetryMode.HONOUR, pause_ms=20)

FleetAction = Callable[[Fleet], object]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load pattern with one disturbance."""

    name: str
    surge: float = 1.0
    """Factor on the load during the disturbance."""
    slow: dict[str, float] = field(default_factory=dict)
    """Factors on the service times of services during the disturbance."""
    retries: Retries = IMMEDIATE_RETRIES
    relay_links: bool = False
    begin: FleetAction | None = None
    """Injects the fault when the disturbance starts."""
    end: FleetAction | None = None
    """Removes the fault when the disturbance ends."""
    disturbance_ms: float = DISTURBANCE_MS

    def timeline(self) -> Timeline:
        """Return the phases of a run."""
        disturbance_start_ms = WARM_UP_MS + BASELINE_MS
        until_ms = disturbance_start_ms + self.disturbance_ms
        return Timeline(
            baseline_start_ms=WARM_UP_MS,
            disturbance_start_ms=disturbance_start_ms,
            disturbance_end_ms=until_ms,
            end_ms=until_ms + RECOVERY_MS,
        )

    def phases(self, rate_per_s: float) -> list[Phase]:
        """Return the load phases of one caller.

        Args:
            rate_per_s: normal rate of the caller.
        """
        timeline = self.timeline()
        return [
            Phase(at_ms=0, rate_per_s=rate_per_s),
            Phase(
                at_ms=timeline.disturbance_start_ms, rate_per_s=rate_per_s * self.surge
            ),
            Phase(at_ms=timeline.disturbance_end_ms, rate_per_s=rate_per_s),
        ]

    def start_disturbance(self, fleet: Fleet) -> None:
        """Slow the services down and inject the fault."""
        for service, factor in self.slow.items():
            fleet.control_service(service, slow_factor=factor)
        if self.begin is not None:
            self.begin(fleet)

    def end_disturbance(self, fleet: Fleet) -> None:
        """Restore normal service times and remove the fault."""
        for service in self.slow:
            fleet.control_service(service, slow_factor=1.0)
        if self.end is not None:
            self.end(fleet)


def silence_links(fleet: Fleet) -> None:
    """Silence the open links from other availability zones to one host."""
    fleet.control_relay(
        [route for route in fleet.layout.routes if route.endswith(f">{SILENT_HOST}")],
        fault="silent",
        only_open=True,
    )


def lose_platform_and_restart(fleet: Fleet) -> None:
    """Stop the platform, then kill and restart one node while it is down."""
    fleet.control_platform(mode="down")
    node = fleet.node(RESTARTED_HOST)
    node.kill()
    node.start()


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(name="surge", surge=SURGE_FACTOR, retries=HINTED_RETRIES),
        Scenario(name="slow", slow={DEEPEST_SERVICE: SLOW_FACTOR}),
        Scenario(name="both", surge=SURGE_FACTOR, slow={DEEPEST_SERVICE: SLOW_FACTOR}),
        Scenario(
            name="zone-cut",
            relay_links=True,
            begin=lambda fleet: fleet.partition(CUT_ZONE),
            end=lambda fleet: fleet.heal(CUT_ZONE),
        ),
        Scenario(
            name="silent-link",
            relay_links=True,
            begin=silence_links,
            disturbance_ms=200.0,
        ),
        Scenario(
            name="platform-outage",
            begin=lose_platform_and_restart,
            end=lambda fleet: fleet.control_platform(mode="up"),
        ),
    )
}
