"""Pydantic models of the fields of a published document."""

import enum
import re
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    PlainValidator,
    StringConstraints,
    model_validator,
)

from sassafraswinch.errors import SelectorSyntaxError
from sassafraswinch.labels import (
    Selector,
    label_key_fault,
    label_value_fault,
    parse_selector,
)
from sassafraswinch.paths import parse_path_template

MAX_VERSION = 2**53
"""Greatest document version; JSON parsers represent integers exactly up to here."""

MAX_DEADLINE_MS = 600_000
"""Longest deadline of a class, in milliseconds."""

MAX_RETRY_ALLOWANCE = 100
"""Greatest number of retries of one root request."""

RESERVED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "content-type",
        "host",
        "idempotency-key",
        "retry-after",
        "retry-after-ms",
        "te",
        "traceparent",
        "tracestate",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-not-run",
    )
)
"""Headers with another meaning, which can't be configured to carry an identity."""

_RESERVED_PREFIX = "sassafraswinch-"
_HEADER = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]+", re.ASCII)


def _check_header(name: str) -> str:
    lower_name = name.lower()
    if not _HEADER.fullmatch(lower_name):
        raise ValueError("not a valid header name")
    if lower_name in RESERVED_HEADERS or lower_name.startswith(_RESERVED_PREFIX):
        raise ValueError(f"{lower_name} is reserved and can't carry an identity")
    return lower_name


def _check_key(key: str) -> str:
    fault = label_key_fault(key)
    if fault is not None:
        raise ValueError(fault)
    return key


def _check_value(value: str) -> str:
    fault = label_value_fault(value)
    if fault is not None:
        raise ValueError(fault)
    return value


def _parse_selector_field(text: object) -> Selector:
    if not isinstance(text, str):
        raise ValueError("a selector must be text; quote it")
    try:
        return parse_selector(text)
    except SelectorSyntaxError as error:
        raise ValueError(f"character {error.position}: {error.reason}") from error


def _check_path(text: str) -> str:
    parse_path_template(text)
    return text


HeaderName = Annotated[str, Field(max_length=64), AfterValidator(_check_header)]
Labels = dict[
    Annotated[str, AfterValidator(_check_key)],
    Annotated[str, AfterValidator(_check_value)],
]
SelectorText = Annotated[Selector, PlainValidator(_parse_selector_field)]
PathText = Annotated[str, Field(max_length=1024), AfterValidator(_check_path)]

ServiceName = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?$")
]
"""Name of a service: the first segment of a URL path, so a DNS label."""

ItemName = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?$")
]
"""Name of an operation or a class: a label value, for use in metrics and reports."""

IdentityName = Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]{1,128}$")]
"""Name of a caller or an organisation: a header value, so visible ASCII."""

Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]{1,16}$")]


class Fields(BaseModel):
    """Base of the models: unknown fields and type conversions are refused."""

    model_config = ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


class IdentityFields(Fields):
    """Names of the headers that identify the caller."""

    caller_header: HeaderName = "x-caller-id"
    organisation_header: HeaderName = "x-organisation-id"

    @model_validator(mode="after")
    def _check_distinct(self) -> Self:
        if self.caller_header == self.organisation_header:
            raise ValueError("caller and organisation can't use the same header")
        return self


class OrganisationFields(Fields):
    """Fields of an organisation; its name is the key of the map."""

    labels: Labels = {}


class CallerFields(Fields):
    """Fields of a caller; its name is the key of the map."""

    organisation: IdentityName | None = None
    labels: Labels = {}


class ServiceFields(Fields):
    """Fields of a service; its name is the key of the map."""

    slots: int = Field(ge=1, le=1_000_000)
    connections: int = Field(ge=1, le=1_000_000)


class OperationFields(Fields):
    """Fields of an operation of a service."""

    name: ItemName
    service: ServiceName
    method: Method
    path: PathText
    labels: Labels = {}


class ObjectiveFields(Fields):
    """Service-level objective of a class."""

    answered_percent: float = Field(gt=0, lt=100)
    latency_ms: float = Field(gt=0, le=MAX_DEADLINE_MS)


class ClassFields(Fields):
    """Fields of a class of requests; its index in the list is its order."""

    name: ItemName
    organisations: SelectorText = Selector()
    operations: SelectorText = Selector()
    callers: SelectorText = Selector()
    deadline_ms: int = Field(ge=1, le=MAX_DEADLINE_MS)
    objective: ObjectiveFields | None = None


class RetryFields(Fields):
    """Limits on retries."""

    allowance: int = Field(default=3, ge=0, le=MAX_RETRY_ALLOWANCE)
    caller_share_percent: float = Field(default=10, ge=0, le=100)


class RequestSelectorField(enum.Enum):
    """Names of the fields of a class that hold a selector."""

    ORGANISATIONS = "organisations"
    OPERATIONS = "operations"
    CALLERS = "callers"


class DocumentFields(Fields):
    """Top level of a document; the entries of each section are validated separately."""

    version: int = Field(ge=1, le=MAX_VERSION)
    identity: IdentityFields = IdentityFields()
    organisations: dict[str, object] = {}
    callers: dict[str, object] = {}
    services: dict[str, object]
    operations: list[object]
    classes: list[object] = Field(min_length=1)
    non_repeatable: list[object] = []
    retry: RetryFields = RetryFields()
