"""The service-level burn report: its data and JSON form."""

import enum
from dataclasses import dataclass, field
from typing import Annotated

from hdrh.histogram import HdrHistogram
from pydantic import PlainSerializer, PlainValidator, TypeAdapter

from sassafraswinch.burn_windows import OutcomeCounts
from sassafraswinch.document import Objective
from sassafraswinch.latencies import parse_histogram, serialize_histogram
from sassafraswinch.records import parse_record, serialize_record

HistogramText = Annotated[
    HdrHistogram,
    PlainValidator(parse_histogram),
    PlainSerializer(serialize_histogram, return_type=str),
]


class Severity(enum.Enum):
    """What an alert asks of the operators."""

    PAGE = "page"
    """Somebody must look now."""

    TICKET = "ticket"
    """Somebody must look on the next working day."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowBurn:
    """Counts and burn rate of one window."""

    window_ms: int
    covered_ms: float
    """Part of the window that the node has been running; the rest is unknown."""
    counts: OutcomeCounts
    burn_rate: float | None
    """Bad share over the share that may be bad; 1 just meets the objective. None
    without an objective or without counted calls."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowLatency:
    """Latencies of the whole answers of one window."""

    window_ms: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float
    histogram: HistogramText


@dataclass(frozen=True, slots=True, kw_only=True)
class Alert:
    """A rule whose two windows both burn at its rate or above."""

    severity: Severity
    short_ms: int
    long_ms: int
    burn_rate: float
    """The smaller rate of the two windows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SeriesBurn:
    """Burn of one operation in one class."""

    class_name: str
    operation: str
    objective: Objective | None
    windows: tuple[WindowBurn, ...]
    latencies: tuple[WindowLatency, ...]
    alerts: tuple[Alert, ...]
    total: OutcomeCounts
    """Since the start of the process."""
    reasons: dict[str, int]
    """Calls since the start that weren't answered, by reason."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReport:
    """Burn of one node, or the sum over several."""

    hosts: tuple[str, ...]
    document_version: int
    """Version that the objectives are from; the highest one in a sum."""
    series: tuple[SeriesBurn, ...] = field(default=())


_REPORT = TypeAdapter(BurnReport)


def parse_report(body: bytes | str, *, source: str) -> BurnReport:
    """Read the JSON of a node's ``/burn``.

    Args:
        body: JSON text.
        source: address of the node, for the errors.

    Raises:
        InvalidFieldsError: names each field that is missing or wrong.
    """
    return parse_record(_REPORT, body, source=source)


def serialize_report(report: BurnReport) -> bytes:
    """Write a report as JSON; histograms as compressed text."""
    return serialize_record(_REPORT, report)
