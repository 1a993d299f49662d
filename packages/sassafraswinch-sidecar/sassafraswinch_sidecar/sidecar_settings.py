"""Settings of a sidecar: what it can't learn from the platform."""

from collections.abc import Iterator
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
ADDRESS_FIELDS = ("backend", "outbound", "ready", "platform")


class SidecarSettings(msgspec.Struct, frozen=True, kw_only=True):
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
        worth_by_priority: worth of a request by the priority of its route, the last one
            for all that are less important. Less important requests that are worth
            more for what they take are then refused no more often than the others.
            Empty: the more important always go first.
        rate_window_s: span over which requests of an organisation are counted.
        rate_slack: requests of an organisation in that span that are free.
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
        """Return one of the addresses, parsed."""
        return parse_address(getattr(self, field))


def parse_sidecar_settings(text: str, *, source: str) -> SidecarSettings:
    """Read the YAML of a settings file.

    Raises:
        InvalidFieldsError: with one InvalidFieldError for each fault.
    """
    settings = convert_struct(SidecarSettings, _parse_yaml(text, source), source=source)
    faults = list(_address_faults(settings))
    if faults:
        raise invalid_fields_error(source, faults)
    return settings


def _parse_yaml(text: str, source: str) -> Any:
    """Read YAML, or JSON, which is YAML in its flow form.

    The YAML library takes a fortieth of a second to import, at each start.
    """
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        import yaml
    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError) as error:
        raise invalid_fields_error(
            source, [(WHOLE_TEXT_FIELD, f"not YAML: {error}")]
        ) from None


def _address_faults(settings: SidecarSettings) -> Iterator[tuple[str, str]]:
    for field in ADDRESS_FIELDS:
        try:
            settings.address(field)
        except ValueError as error:
            yield field, str(error)
