"""Instances of backend servers, as a platform would tell them."""

from sassafraswinch_sidecar.instances import Instance


def new_instance(number: int, zone: str = "brno-a", cold_ms: float = 0.0) -> Instance:
    """Return the instance at ``10.0.0.number``."""
    return Instance(
        id=f"i-{number}",
        service="prehled",
        ip=f"10.0.0.{number}",
        port=8080,
        availability_zone=zone,
        slots=64,
        leaving=False,
        cold_ms=cold_ms,
    )
