"""Makes the parts of a node that its settings choose."""

import random

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.document import digest, parse_document
from sassafraswinch.gate import Gate, OpenGate, StaticGate
from sassafraswinch.versions import ConfigKeeper
from sassafraswinch_node.settings import Settings


def make_gate(settings: Settings, rng: random.Random) -> Gate:
    """Return the gate that the settings name."""
    match settings.gate:
        case "open":
            return OpenGate()
        case "static":
            return StaticGate(slots=settings.slots_hint)
        case _:
            return AdaptiveGate(slots=settings.slots_hint, rng=rng)


def make_keeper(rng: random.Random) -> ConfigKeeper:
    """Return a keeper of the platform's documents."""
    return ConfigKeeper(
        parse=lambda body: parse_document(body, source="document"),
        digest=digest,
        rng=rng,
    )
