"""Factories of backend server instances and their values in the store."""

import json

from sassafraswinch_sidecar.instances import Instance


def instance_value(**fields):
    """Return an instance's value in the store, in the form of ``MemoryDecoder``."""
    value = {
        "service": "archiv",
        "ip": "10.0.0.1",
        "port": 8080,
        "availability_zone": "brno-a",
        "slots": 8,
        "leaving": False,
        "cold_ms": 0.0,
    }
    return json.dumps(value | fields).encode()


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
