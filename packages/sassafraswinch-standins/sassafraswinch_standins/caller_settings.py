"""Settings of the caller stand-in."""

import enum

from sassafraswinch_standins.serving import StrictModel


class RetryMode(enum.Enum):
    """Delay policy for retries of a request that got no answer."""

    IMMEDIATE = "immediate"
    """Retry after ``pause_ms``, which is 0 by default."""
    HONOUR = "honour"
    """Retry after the delay in ``Retry-After-Ms`` or ``Retry-After``, if given."""


class Retries(StrictModel):
    """Retry settings of a caller."""

    limit: int = 5
    """Maximum number of retries of one request."""
    mode: RetryMode = RetryMode.IMMEDIATE
    pause_ms: float = 0.0
    """Pause before a retry that no ``Retry-After`` header delays."""


class Traffic(StrictModel):
    """One type of request in the load."""

    name: str
    class_name: str
    """Class that the document assigns to this traffic; used only in the report."""
    weight: float = 1.0
    service: str
    method: str = "GET"
    path: str
    """May contain ``{id}``, which is replaced by an id of the request."""
    caller_id: str
    organisation_id: str | None = None
    non_repeatable: bool = False
    answer_bytes: int = 500
    patience_ms: float = 4_000.0
    """Timeout of a request over all of its retries."""
    objective_ms: float = 1_500.0
    """Latency objective: a response that takes longer misses it."""


class Phase(StrictModel):
    """A request rate that applies until the next phase."""

    at_ms: float = 0.0
    """Start, relative to the start of the load."""
    rate_per_s: float


class CallerSettings(StrictModel):
    """Settings file of the caller stand-in."""

    name: str = "caller"
    """Prefix of the request ids; must be unique among the callers of a run."""
    entries: list[str]
    """``ip:port`` of ingress listeners, or of backend servers."""
    direct: bool = False
    """Whether ``entries`` are backend servers; paths then omit the service name."""
    seed: int = 1
    phases: list[Phase]
    duration_ms: float
    start_at_ms: float | None = None
    """Start time on the monotonic clock of the host; None starts immediately."""
    traffic: list[Traffic]
    retries: Retries = Retries()
    caller_header: str = "x-caller-id"
    organisation_header: str = "x-organisation-id"
    ticket_max_age_ms: float = 10_000.0
    """Age above which a stored ticket isn't used."""
    max_in_flight: int = 5_000
    """Concurrency limit; requests above it are dropped and counted.

    Dropped requests mean that the caller itself is too slow.
    """
    report: str | None = None
    """Output file of the report; None prints it."""
