"""Odd entries that another writer leaves among the registrations of the servers."""

import json
import random

from .store import StoreStandIn

DEPTH = 900
"""Nesting up to which this module can serialize an entry."""

ODD_REVISIONS = [-1, 2**63, 2**64, 10**400]
ODD_KEYS = ["\ud800", "", "i\r\nX-Other: 1", "\0", "i" * 300]
ODD_FIELDS = [
    {"born": 2**63},
    {"born": 10**400},
    {"slots": 10**400},
    {"cold_left_s": 1e308},
    {"address": "10.0.0.1:99999"},
    {"address": "0.0.0.0:80"},
    {"zone": "a\r\nb"},
]


async def put_odd_entry(store: StoreStandIn, rng: random.Random, address: str) -> None:
    """Write one odd entry of a random kind.

    Args:
        store: the store.
        rng: source of the kind.
        address: address of a server, which the entry names.
    """
    key = f"servers/foreign-{rng.randrange(1_000)}"
    registration = {
        "service": "archiv",
        "address": address,
        "zone": "zone-0",
        "slots": 8,
        "state": "ready",
    }
    kind = rng.randrange(4)
    if kind == 0:
        odd = {"rev": rng.choice(ODD_REVISIONS)}
        await store.put_foreign(key, json.dumps(registration), **odd)
    elif kind == 1:
        key = f"servers/{rng.choice(ODD_KEYS)}"
        await store.put_foreign(key, json.dumps(registration))
    elif kind == 2:
        changed = registration | rng.choice(ODD_FIELDS)
        await store.put_foreign(key, json.dumps(changed))
    else:
        await store.put_foreign(key, "[" * DEPTH + "]" * DEPTH)
