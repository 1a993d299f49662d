"""Odd entries that another writer leaves among the registrations of the servers."""

import json
import random
from typing import Any

from .store import StoreStandIn

DEPTH = 900
"""Nesting up to which this module can serialize an entry."""

ENTRIES = 4
"""Odd entries that are written together, each of another kind."""

ODD_ITEMS: list[dict[str, Any]] = [
    {"rev": -1},
    {"rev": 2**63},
    {"rev": 2**64},
    {"rev": 10**400},
    {"key": "servers/\ud800"},
    {"key": "servers/"},
    {"key": "servers/i\r\nX-Other: 1"},
    {"key": "servers/\0"},
    {"key": f"servers/{'i' * 300}"},
]
"""Changed fields of an item whose value is a sound registration."""

ODD_REGISTRATIONS: list[dict[str, Any]] = [
    {"born": 2**63},
    {"born": 10**400},
    {"slots": 10**400},
    {"cold_left_s": 1e308},
    {"address": "10.0.0.1:99999"},
    {"address": "0.0.0.0:80"},
    {"zone": "a\r\nb"},
]
"""Changed fields of a registration under a key of its own."""


async def put_odd_entries(
    store: StoreStandIn, rng: random.Random, address: str
) -> None:
    """Write odd entries of random kinds.

    Args:
        store: the store.
        rng: source of the kinds.
        address: address of a live server, which the entries name.
    """
    sound = {
        "service": "archiv",
        "address": address,
        "zone": "zone-0",
        "slots": 8,
        "state": "ready",
    }
    entries = [
        *((item, json.dumps(sound)) for item in ODD_ITEMS),
        *(({}, json.dumps(sound | changes)) for changes in ODD_REGISTRATIONS),
        ({}, "[" * DEPTH + "]" * DEPTH),
    ]
    for item, text in rng.sample(entries, ENTRIES):
        key = f"servers/foreign-{rng.randrange(1_000)}"
        await store.put_foreign(key, text, item)
