"""Settings and orders of the relay."""

import enum

from sassafraswinch_standins.serving import StrictModel


class Direction(enum.Enum):
    """Which way the bytes go."""

    TO_TARGET = "to-target"
    TO_CLIENT = "to-client"
    BOTH = "both"


class Fault(enum.Enum):
    """What the relay does to connections."""

    NONE = "none"
    SILENT = "silent"
    """Drops bytes and the end of a connection, so that neither end learns of it."""
    CUT = "cut"
    """Resets open connections; new ones are refused while it lasts."""
    HELD = "held"
    """Keeps bytes and ends of the connections that are open now until the fault is
    ended, and delivers them then; new connections work."""


class RouteSettings(StrictModel):
    """One relayed listener."""

    name: str
    listen: str = "127.0.0.1:0"
    target: str
    delay_ms: float = 0.0
    """Added to the bytes of each direction."""


class RelaySettings(StrictModel):
    """Settings file of the relay."""

    listen: str = "127.0.0.1:0"
    """Address of the control endpoint."""
    routes: list[RouteSettings] = []


class RelayControl(StrictModel):
    """Body of ``POST /control``."""

    routes: list[str]
    """Names of routes, or beginnings of names that end in ``*``."""
    fault: Fault | None = None
    direction: Direction = Direction.BOTH
    only_open: bool = False
    """Only connections that are open now; new ones work."""
    delay_ms: float | None = None
