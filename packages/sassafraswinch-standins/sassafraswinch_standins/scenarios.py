"""Scenarios of the bench: the load, and what goes wrong when."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sassafraswinch_standins.caller_settings import Phase, Retries, RetryMode
from sassafraswinch_standins.figures import Timeline
from sassafraswinch_standins.fleet import Fleet

WARM_MS = 3_000.0
"""Load before anything is measured, while nodes learn, in milliseconds."""

BEFORE_MS = 3_000.0
"""Time over which the normal level is measured, in milliseconds."""

PRESSURE_MS = 6_000.0
"""Length of a pressure, in milliseconds."""

AFTER_MS = 9_000.0
"""Time left for the recovery, in milliseconds."""

LOAD_SHARE = 0.55
"""Normal load as a share of what the graph carries."""

SURGE_FACTOR = 3.0
SLOW_FACTOR = 5.0
DEEPEST = "archiv"

CUT_ZONE = "ostrava-c"
RESTARTED_HOST = "schvaleni-1"
SILENT_HOST = "archiv-1"

HARD = Retries(limit=5, mode=RetryMode.IMMEDIATE, pause_ms=20)
HONOURING = Retries(limit=5, mode=RetryMode.HONOUR, pause_ms=20)

Act = Callable[[Fleet], object]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One kind of pressure."""

    name: str
    surge: float = 1.0
    """Factor on the load during the pressure."""
    slow: dict[str, float] = field(default_factory=dict)
    """Factors on the service times of services during the pressure."""
    retries: Retries = HARD
    relay_links: bool = False
    begin: Act | None = None
    """What happens when the pressure begins, besides slowness."""
    end: Act | None = None
    pressure_ms: float = PRESSURE_MS

    def timeline(self) -> Timeline:
        """Return when the pressure begins and ends."""
        from_ms = WARM_MS + BEFORE_MS
        until_ms = from_ms + self.pressure_ms
        return Timeline(
            before_ms=WARM_MS,
            from_ms=from_ms,
            until_ms=until_ms,
            end_ms=until_ms + AFTER_MS,
        )

    def phases(self, rate_per_s: float) -> list[Phase]:
        """Return the load of one caller whose normal rate is given."""
        timeline = self.timeline()
        return [
            Phase(at_ms=0, rate_per_s=rate_per_s),
            Phase(at_ms=timeline.from_ms, rate_per_s=rate_per_s * self.surge),
            Phase(at_ms=timeline.until_ms, rate_per_s=rate_per_s),
        ]

    def begin_pressure(self, fleet: Fleet) -> None:
        """Bring the pressure about."""
        for service, factor in self.slow.items():
            fleet.control_service(service, slow_factor=factor)
        if self.begin is not None:
            self.begin(fleet)

    def end_pressure(self, fleet: Fleet) -> None:
        """Take the pressure away."""
        for service in self.slow:
            fleet.control_service(service, slow_factor=1.0)
        if self.end is not None:
            self.end(fleet)


def silence_links(fleet: Fleet) -> None:
    """Make the open links from other availability zones to one host silent."""
    fleet.control_relay(
        [route for route in fleet.layout.routes if route.endswith(f">{SILENT_HOST}")],
        fault="silent",
        only_open=True,
    )


def lose_platform_and_restart(fleet: Fleet) -> None:
    """Take the platform down, and kill and restart one node meanwhile."""
    fleet.control_platform(mode="down")
    node = fleet.node(RESTARTED_HOST)
    node.kill()
    node.start()


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(name="surge", surge=SURGE_FACTOR, retries=HONOURING),
        Scenario(name="slow", slow={DEEPEST: SLOW_FACTOR}),
        Scenario(name="both", surge=SURGE_FACTOR, slow={DEEPEST: SLOW_FACTOR}),
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
            pressure_ms=200.0,
        ),
        Scenario(
            name="platform-outage",
            begin=lose_platform_and_restart,
            end=lambda fleet: fleet.control_platform(mode="up"),
        ),
    )
}
