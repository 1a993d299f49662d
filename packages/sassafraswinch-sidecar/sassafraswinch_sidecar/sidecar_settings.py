"""Settings of a sidecar: values that the platform's data don't provide."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sassafraswinch_node.addresses import Address, parse_address
from sassafraswinch_sidecar.checked_structs import (
    WHOLE_TEXT_FIELD,
    convert_struct,
    invalid_fields_error,
)

Name = Annotated[str, Meta(min_length=1, max_length=200)]
AddressText = Annotated[str, Meta(min_length=1, max_length=64)]
Worth = Annotated[float, Meta(gt=0, le=1e6)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
LISTENER_FIELDS = ("outbound", "ready")
ADDRESS_FIELDS = ("backend", "outbound", "ready", "platform")


class SidecarSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Schema of the settings file; names of fields with a unit end in it.

    Attributes:
        host: name of this host, for logs.
        ip: IP address of this host, on which its sidecar accepts links.
        availability_zone: availability zone of this host.
        service: service of the backend server beside the sidecar.
        backend: address of that backend server.
        outbound: address to which callers on this host send their requests.
        ready: address of the platform's readiness probe.
        link_port: port on which sidecars accept links; the same on all hosts.
        dial_port: port on which other sidecars are dialled, if a proxy between the
            hosts forwards connections; defaults to ``link_port``.
        metrics_port: port of the metrics page.
        platform: address of the platform's store.
        memory_mb: memory limit of the process; beyond it the process is killed.
        drain_s: time from SIGTERM after which the process is killed.
        repeat_ratio: retries that the fleet may make for each request.
        repeat_slack: retries in a window that are allowed without any request.
        repeat_window_s: length of that window.
        worth_by_priority: value of a request by the priority of its route; the last one
            also applies to all lower priorities. With it, requests of a lower priority
            that have a higher value for their cost aren't rejected more often than
            others. If empty, higher priorities are always admitted first.
        rate_window_s: window over which the requests of an organisation are counted.
        rate_slack: requests of an organisation in that window that don't count
            against its limit.
        log_level: debug, info, warning or error.
    """

    host: Name
    ip: AddressText
    availability_zone: Name
    service: Name
    backend: AddressText
    outbound: AddressText
    ready: AddressText
    link_port: Port
    dial_port: Port | None = None
    metrics_port: Port
    platform: AddressText
    memory_mb: Annotated[float, Meta(ge=50, le=1e6)] = 200.0
    drain_s: Annotated[float, Meta(gt=0, le=600)] = 6.0
    repeat_ratio: Annotated[float, Meta(ge=0, le=10)] = 0.2
    repeat_slack: Annotated[float, Meta(ge=0, le=1e6)] = 50.0
    repeat_window_s: Annotated[float, Meta(gt=0, le=600)] = 10.0
    worth_by_priority: tuple[Worth, ...] = ()
    rate_window_s: Annotated[float, Meta(gt=0, le=600)] = 5.0
    rate_slack: Annotated[float, Meta(ge=0, le=1e6)] = 20.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    def address(self, field: str) -> Address:
        """Parse and return the address in a field of ``ADDRESS_FIELDS``."""
        return parse_address(getattr(self, field))


def load_sidecar_settings(path: Path) -> SidecarSettings:
    """Read and validate a settings file.

    Raises:
        InvalidFieldsError: with one InvalidFieldError for each fault.
        OSError: the file can't be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise invalid_fields_error(
            str(path), [(WHOLE_TEXT_FIELD, f"not UTF-8: {error}")]
        ) from None
    return parse_sidecar_settings(text, source=str(path))


def parse_sidecar_settings(text: str, *, source: str) -> SidecarSettings:
    """Parse and validate the YAML text of a settings file.

    Args:
        text: the text of the file.
        source: path of the file, for the errors.

    Raises:
        InvalidFieldsError: with one InvalidFieldError for each fault.
    """
    settings = convert_struct(SidecarSettings, _parse_yaml(text, source), source=source)
    faults = list(_address_faults(settings))
    if faults:
        raise invalid_fields_error(source, faults)
    return settings


def _parse_yaml(text: str, source: str) -> Any:
    """Parse YAML; JSON, which is a subset of it, without the YAML library.

    The import of the YAML library takes a fortieth of a second at each start.
    """
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        import yaml
    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise invalid_fields_error(
            source, [(WHOLE_TEXT_FIELD, f"invalid YAML: {error}")]
        ) from None


def _address_faults(settings: SidecarSettings) -> Iterator[tuple[str, str]]:
    taken = {Address(ip=settings.ip, port=settings.link_port): "link_port"}
    for field in ADDRESS_FIELDS:
        try:
            address = settings.address(field)
        except ValueError as error:
            yield field, str(error)
            continue
        if field in LISTENER_FIELDS and address.port:
            other = taken.setdefault(address, field)
            if other != field:
                yield field, f"is the address of {other}"
