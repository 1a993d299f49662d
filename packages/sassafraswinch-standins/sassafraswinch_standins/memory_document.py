"""Configuration documents of in-memory fleets: a small graph of three services."""

import functools
import json

from sassafraswinch.document import Document, digest, parse_document

SERVICES = ("archiv", "schvaleni", "vydej")
ALLOWANCE = 3
CLASSES = (
    ("paying-actions", "tier=paying", "action in (approval, release)", 2000),
    ("paying", "tier=paying", "", 1500),
    ("trial", "tier=trial", "", 1000),
    ("rest", "", "", 1000),
)
"""Name, selector over organisations, selector over operations, deadline in ms."""

OPERATIONS = (
    ("lookup-order", "archiv", "GET", "/orders/{order}", "lookup"),
    ("order-history", "schvaleni", "GET", "/orders/{order}/history", "lookup"),
    ("order-receipt", "schvaleni", "GET", "/orders/{order}/receipt", "lookup"),
    ("approve-order", "schvaleni", "POST", "/orders/{order}/approval", "approval"),
    ("release-order", "vydej", "POST", "/orders/{order}/release", "release"),
)
"""Name, service, method, path and label ``action``."""

ORGANISATIONS = {"acme": "paying", "brnovar": "paying", "zkusebna": "trial"}
"""Tier by organisation."""


def make_document(version: int, *, variant: str = "", slots: int = 6) -> bytes:
    """Return a valid document; its content differs by variant."""
    body = {
        "version": version,
        "organisations": {
            name: {"labels": {"tier": tier}} for name, tier in ORGANISATIONS.items()
        },
        "callers": {"buyer": {"labels": {"variant": variant or "none"}}},
        "services": {name: {"slots": slots, "connections": 50} for name in SERVICES},
        "operations": [
            {
                "name": name,
                "service": service,
                "method": method,
                "path": path,
                "labels": {"action": action},
            }
            for name, service, method, path, action in OPERATIONS
        ],
        "classes": [
            {
                "name": name,
                "organisations": organisations,
                "operations": operations,
                "deadline_ms": deadline_ms,
            }
            for name, organisations, operations, deadline_ms in CLASSES
        ],
        "non_repeatable": ["action in (approval, release)"],
        "retry": {"allowance": ALLOWANCE, "caller_share_percent": 10},
    }
    return json.dumps(body).encode()


@functools.lru_cache(maxsize=256)
def read_document(body: bytes) -> Document:
    """Parse a document once for all nodes of a fleet.

    Raises:
        InvalidFieldsError: the document is invalid; the error lists each fault.
    """
    return parse_document(body, source="memory")


digest_of = functools.lru_cache(maxsize=256)(digest)
