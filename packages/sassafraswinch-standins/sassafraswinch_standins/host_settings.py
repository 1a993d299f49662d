"""Settings of the backend server and the node that run on one host."""

from typing import Any

from sassafraswinch_standins.graph import CONNECTIONS_PER_SLOT
from sassafraswinch_standins.layout import Host


def backend_settings(host: Host, *, seed: int) -> dict[str, Any]:
    """Return the settings of the backend server stand-in of a host."""
    return {
        "listen": host.backend,
        "name": host.name,
        "service": host.service,
        "egress": host.egress,
        "slots": host.plan.slots,
        "backlog": (CONNECTIONS_PER_SLOT - 1) * host.plan.slots,
        "seed": seed,
        "operations": [plan.model_dump(mode="json") for plan in host.plan.operations],
    }


def node_settings(host: Host, *, platform: str, gate: str) -> dict[str, Any]:
    """Return the settings of the node of a host.

    Args:
        host: addresses and availability zone of the node.
        platform: ``ip:port`` of the platform that the node reads.
        gate: admission policy of the node.
    """
    return {
        "host": host.name,
        "availability_zone": host.availability_zone,
        "service": host.service,
        "entry": host.entry,
        "egress": host.egress,
        "operators": host.operators,
        "link": host.link,
        "backend": host.backend,
        "platform": [f"http://{platform}"],
        "gate": gate,
        "log_level": "warning",
    }
