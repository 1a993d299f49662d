"""Settings and control messages of the TCP relay."""

import enum

from sassafraswinch_standins.serving import StrictModel


class Direction(enum.Enum):
    """Direction of the relayed data."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"
    BOTH = "both"


class Fault(enum.Enum):
    """Fault that the relay injects into connections."""

    NONE = "none"
    SILENT = "silent"
    """Drop bytes and closes of connections, without notice to either end."""
    CUT = "cut"
    """Reset open connections, and new ones until the fault ends."""
    HELD = "held"
    """Hold bytes and closes of the currently open connections, and deliver them when
    the fault ends; new connections are not affected."""


class RouteSettings(StrictModel):
    """Settings of one route: a listener and its target."""

    name: str
    listen: str = "127.0.0.1:0"
    target: str
    delay_ms: float = 0.0
    """Delay added in each direction."""


class RelaySettings(StrictModel):
    """Settings file of the relay."""

    listen: str = "127.0.0.1:0"
    """Address of the control endpoint."""
    routes: list[RouteSettings] = []


class RelayControl(StrictModel):
    """Body of ``POST /control``."""

    routes: list[str]
    """Names of routes, or prefixes of names followed by ``*``."""
    fault: Fault | None = None
    direction: Direction = Direction.BOTH
    only_open: bool = False
    """Whether to affect only open connections; new ones work normally."""
    delay_ms: float | None = None
