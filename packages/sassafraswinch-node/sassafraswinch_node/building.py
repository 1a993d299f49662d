"""Makes the parts of a node that its settings choose."""

import random

from sassafraswinch.document import digest, parse_document
from sassafraswinch.gate import AdaptiveGate, Gate, OpenGate, StaticGate
from sassafraswinch.versions import ConfigKeeper
from sassafraswinch_node.settings import Settings

DEFAULT_SLOTS = 64
"""Limit of a static gate whose backend server's slots nobody has told."""


def make_gate(settings: Settings, rng: random.Random) -> Gate:
    """Return the gate that the settings name."""
    match settings.gate:
        case "open":
            return OpenGate()
        case "static":
            return StaticGate(limit=settings.slots_hint or DEFAULT_SLOTS)
        case _:
            return AdaptiveGate(slots=settings.slots_hint, rng=rng)


def make_keeper(rng: random.Random) -> ConfigKeeper:
    """Return a keeper of the platform's documents."""
    return ConfigKeeper(
        parse=lambda body: parse_document(body, source="document"),
        digest=digest,
        rng=rng,
    )
