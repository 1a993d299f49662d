"""Settings of the caller stand-in."""

import enum

from sassafraswinch_standins.serving import StrictModel


class RetryMode(enum.Enum):
    """When a caller repeats a request that wasn't answered."""

    IMMEDIATE = "immediate"
    """At once, or after ``pause_ms``."""
    HONOUR = "honour"
    """After the time in ``Retry-After-Ms`` or ``Retry-After``."""


class Retries(StrictModel):
    """How hard a caller repeats."""

    limit: int = 5
    """Repeats of one request."""
    mode: RetryMode = RetryMode.IMMEDIATE
    pause_ms: float = 0.0
    """Pause before a repeat that follows no hint."""


class Traffic(StrictModel):
    """One kind of request."""

    name: str
    class_name: str
    """Class that the document gives this traffic; only for the report."""
    weight: float = 1.0
    service: str
    method: str = "GET"
    path: str
    """May hold ``{id}``, which becomes the id of the request."""
    caller_id: str
    organisation_id: str | None = None
    non_repeatable: bool = False
    answer_bytes: int = 500
    patience_ms: float = 4_000.0
    """Time after which the caller gives a request up, repeats included."""
    objective_ms: float = 1_500.0
    """An answer that comes later isn't counted as within the objective."""


class Phase(StrictModel):
    """A rate that holds until the next phase."""

    at_ms: float = 0.0
    """Start, counted from the start of the load."""
    rate_per_s: float


class CallerSettings(StrictModel):
    """Settings file of the caller stand-in."""

    name: str = "caller"
    """Unique among the callers of a run: it begins the ids of requests."""
    entries: list[str]
    """``ip:port`` of entry listeners, or of a backend server."""
    direct: bool = False
    """Whether entries are backend servers: paths then have no service in front."""
    seed: int = 1
    phases: list[Phase]
    duration_ms: float
    start_at_ms: float | None = None
    """Start on the machine's monotonic clock; None starts at once."""
    traffic: list[Traffic]
    retries: Retries = Retries()
    caller_header: str = "x-caller-id"
    organisation_header: str = "x-organisation-id"
    ticket_max_age_ms: float = 10_000.0
    """Age above which a kept ticket isn't used."""
    max_in_flight: int = 5_000
    """Requests above this are dropped and counted: the caller itself is too slow."""
    report: str | None = None
    """File for the report; None prints it."""
