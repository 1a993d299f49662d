"""Settings of a sidecar: what it can't learn from the platform."""

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sassafraswinch_node.settings import (
    Address,
    AddressText,
    parse_address,
    settings_faults,
)


class SidecarSettings(BaseModel):
    """The settings file as it must be written; times are in the unit of their name.

    Attributes:
        host: name of this host, for logs.
        ip: IP number of this host, at which its sidecar accepts links.
        availability_zone: where it is.
        service: service of the backend server beside it.
        backend: address of that server.
        outbound: where callers on this host send their requests.
        ready: where the platform asks whether the sidecar takes requests.
        link_port: port at which sidecars accept links; the same on all hosts.
        dial_port: port at which other sidecars are dialled, where something between
            the hosts passes connections on; ``link_port`` if not given.
        metrics_port: port of the metrics page.
        platform: address of the platform's store.
        memory_mb: memory that the process may take; beyond it it is killed.
        drain_s: time that a stopping process has; then it is killed.
        repeat_ratio: repeats for each request that the fleet may make.
        repeat_slack: repeats in a window that need no request.
        repeat_window_s: length of that window.
        log_level: debug, info, warning or error.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str = Field(min_length=1, max_length=200)
    ip: str = Field(min_length=1, max_length=64)
    availability_zone: str = Field(min_length=1, max_length=200)
    service: str = Field(min_length=1, max_length=200)
    backend: AddressText
    outbound: AddressText
    ready: AddressText
    link_port: int = Field(ge=1, le=65_535)
    dial_port: int | None = Field(default=None, ge=1, le=65_535)
    metrics_port: int = Field(ge=1, le=65_535)
    platform: AddressText
    memory_mb: float = Field(default=200.0, ge=50, le=1e6)
    drain_s: float = Field(default=6.0, gt=0, le=600)
    repeat_ratio: float = Field(default=0.2, ge=0, le=10)
    repeat_slack: float = Field(default=50.0, ge=0, le=1e6)
    repeat_window_s: float = Field(default=10.0, gt=0, le=600)
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")

    def address(self, field: str) -> Address:
        """Return one of the addresses, parsed."""
        return parse_address(getattr(self, field))


def parse_sidecar_settings(text: str, *, source: str) -> SidecarSettings:
    """Read the YAML of a settings file.

    Raises:
        InvalidFieldsError: with one InvalidFieldError for each fault.
    """
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise settings_faults(source, [("(file)", f"not YAML: {error}")]) from None
    if not isinstance(raw, dict):
        raise settings_faults(source, [("(file)", "expected a mapping of fields")])
    try:
        return SidecarSettings.model_validate(raw)
    except ValidationError as error:
        found = [
            (".".join(map(str, item["loc"])) or "(file)", item["msg"])
            for item in error.errors()
        ]
        raise settings_faults(source, found) from None
