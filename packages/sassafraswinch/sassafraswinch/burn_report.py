"""Burn report: burn rates against service-level objectives, with its JSON form."""

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
    """Urgency of an alert."""

    PAGE = "page"
    """An operator must respond now."""

    TICKET = "ticket"
    """An operator must respond on the next working day."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowBurn:
    """Counts and burn rate of one window."""

    window_ms: int
    covered_ms: float
    """Part of the window in which the node was running; the rest is unknown."""
    counts: OutcomeCounts
    burn_rate: float | None
    """Share of bad calls over the share that the objective allows; 1 just meets the
    objective. None without an objective or without counted calls."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WindowLatency:
    """Latencies of the complete answers of one window."""

    window_ms: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float
    histogram: HistogramText


@dataclass(frozen=True, slots=True, kw_only=True)
class Alert:
    """Alert of a rule whose windows both burn at its rate or above."""

    severity: Severity
    short_ms: int
    long_ms: int
    burn_rate: float
    """Smaller burn rate of the two windows."""


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
    """Counts since the start of the process."""
    reasons: dict[str, int]
    """Unanswered calls since the start of the process, by reason."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReport:
    """Burn report of one node, or merged over several."""

    hosts: tuple[str, ...]
    document_version: int
    """Document version of the objectives; the highest one in a merged report."""
    series: tuple[SeriesBurn, ...] = field(default=())


_REPORT = TypeAdapter(BurnReport)


def parse_report(body: bytes | str, *, source: str) -> BurnReport:
    """Parse the JSON response of a node's ``/burn``.

    Args:
        body: JSON text.
        source: address of the node, reported with errors.

    Raises:
        InvalidFieldsError: if fields are missing or invalid, with each of them.
    """
    return parse_record(_REPORT, body, source=source)


def serialize_report(report: BurnReport) -> bytes:
    """Return a report as JSON, with histograms as compressed text."""
    return serialize_record(_REPORT, report)
