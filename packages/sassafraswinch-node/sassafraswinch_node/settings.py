"""Settings of a node, which the platform doesn't provide."""

import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

import yaml
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from sassafraswinch.errors import InvalidFieldError, InvalidFieldsError
from sassafraswinch.lifecycle import LEAVE_NOTICE_MS
from sassafraswinch.membership import SELF_LEAVING_GRACE_MS
from sassafraswinch_node.addresses import Address, parse_address
from sassafraswinch_node.caller_memory import MAX_CALLER_MEMORY_BYTES
from sassafraswinch_node.caller_protocol import MAX_HEADER_BYTES


def _check_address(text: str) -> str:
    parse_address(text)
    return text


def _check_platform_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != "http" or parts.query or parts.fragment:
        raise ValueError("expected a URL of the form http://ip:port")
    try:
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        raise ValueError(f"{parts.hostname!r} is not an IP address") from None
    return text.rstrip("/")


PlatformUrl = Annotated[str, AfterValidator(_check_platform_url)]
AddressText = Annotated[str, AfterValidator(_check_address)]


class SettingsModel(BaseModel):
    """Schema of the settings file."""

    model_config = ConfigDict(extra="forbid", strict=True)

    host: str = Field(min_length=1, max_length=200)
    availability_zone: str = Field(min_length=1, max_length=200)
    service: str = Field(min_length=1, max_length=200)
    entry: AddressText
    egress: AddressText
    operators: AddressText
    link: AddressText
    backend: AddressText
    platform: list[PlatformUrl] = Field(min_length=1)
    gate: Literal["adaptive", "static", "open"] = "adaptive"
    slots_hint: int | None = Field(default=None, ge=1, le=100_000)
    max_connections: int = Field(default=512, ge=1, le=100_000)
    max_body_bytes: int = Field(default=1_048_576, ge=1024, le=1_500_000)
    max_header_bytes: int = Field(default=MAX_HEADER_BYTES, ge=4096, le=1_048_576)
    max_caller_memory_bytes: int = Field(
        default=MAX_CALLER_MEMORY_BYTES, ge=4_194_304, le=2**40
    )
    list_leave_delay_ms: int = Field(default=SELF_LEAVING_GRACE_MS, ge=0, le=3_600_000)
    leave_notice_ms: int = Field(default=LEAVE_NOTICE_MS, ge=0, le=60_000)
    stop_timeout_ms: int = Field(default=30_000, ge=0, le=600_000)
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @model_validator(mode="after")
    def _listeners_differ(self):
        texts = [self.entry, self.egress, self.operators, self.link]
        fixed = [text for text in texts if parse_address(text).port]
        if len(set(fixed)) != len(fixed):
            raise ValueError(
                "entry, egress, operators and link must have different addresses"
            )
        return self


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Validated settings of one node."""

    host: str
    availability_zone: str
    service: str
    entry: Address
    egress: Address
    operators: Address
    link: Address
    backend: Address
    platform: tuple[str, ...]
    gate: str
    slots_hint: int | None
    max_connections: int
    max_body_bytes: int
    max_header_bytes: int
    max_caller_memory_bytes: int
    """Limit on what callers make the process hold, over all its HTTP listeners."""
    list_leave_delay_ms: int
    """Time after the start during which a node ignores that the host list marks its own
    host as leaving."""
    leave_notice_ms: int
    """Time between a leaving node's notice to its peers and the end of listening."""
    stop_timeout_ms: int
    """Time after which requests still in flight are aborted and logged."""
    log_level: str


ADDRESS_FIELDS = ("entry", "egress", "operators", "link", "backend")


def parse_settings(text: str, *, source: str) -> Settings:
    """Parse and validate a settings file.

    Args:
        text: the YAML text.
        source: name of the file, for error messages.

    Raises:
        InvalidFieldsError: the settings are invalid; it holds one InvalidFieldError for
            each fault.
    """
    try:
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reason = f"invalid YAML: {error}"
        raise settings_faults(source, [("(file)", reason)]) from None
    if not isinstance(raw, dict):
        raise settings_faults(source, [("(file)", "expected a YAML mapping of fields")])
    try:
        model = SettingsModel.model_validate(raw)
    except ValidationError as error:
        faults = [
            (".".join(map(str, item["loc"])) or "(file)", item["msg"])
            for item in error.errors()
        ]
        raise settings_faults(source, faults) from None
    fields = model.model_dump()
    fields |= {name: parse_address(fields[name]) for name in ADDRESS_FIELDS}
    fields["platform"] = tuple(model.platform)
    return Settings(**fields)


def load_settings(path: str | Path) -> Settings:
    """Read and validate a settings file.

    Raises:
        InvalidFieldsError: the file can't be read or is invalid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise settings_faults(
            str(path), [("(file)", f"can't be read: {error}")]
        ) from None
    return parse_settings(text, source=str(path))


def settings_faults(source: str, faults: list[tuple[str, str]]) -> InvalidFieldsError:
    """Return an error that lists all faults of a settings file.

    Args:
        source: name of the file.
        faults: field and reason of each fault.
    """
    errors = [
        InvalidFieldError(source=source, field=field, reason=reason)
        for field, reason in faults
    ]
    return InvalidFieldsError(f"{source}: {len(errors)} fault(s)", errors)
