"""Makes the parts of a node that its settings choose."""

import os
import random
from collections.abc import Callable

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.document import Document, digest, parse_document
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.gate import Gate, OpenGate, StaticGate
from sassafraswinch.levels import EntryShedder
from sassafraswinch.membership import Membership
from sassafraswinch.messages import NodeId
from sassafraswinch.node import Node
from sassafraswinch.ports import BackendPort, CallerPort, LinkPort, Recorder
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.routing import Router
from sassafraswinch.tickets import TicketLedger
from sassafraswinch.versions import ConfigKeeper
from sassafraswinch_node.settings import Settings

TICKET_LIFETIME_MS = 120_000
"""How long a caller may hold a ticket before it uses it."""

MAX_ANSWER_BYTES = 8_388_608
"""Bytes of answers kept for repeats, at the owner and at the executing node each."""


def make_node(
    *,
    settings: Settings,
    node_id: NodeId,
    links: LinkPort,
    backend: BackendPort,
    callers: CallerPort,
    membership: Membership,
    recorder: Recorder,
    document_changed: Callable[[Document], None],
    service_called: Callable[[str], None],
    rng: random.Random,
) -> Node:
    """Return the decisions of a node, with its ports tied to adapters."""
    return Node(
        node=node_id,
        links=links,
        backend=backend,
        callers=callers,
        gate=make_gate(settings, rng),
        membership=membership,
        router=Router(availability_zone=settings.availability_zone, rng=rng),
        tickets=TicketLedger(
            node=node_id,
            secret=os.urandom(32),
            lifetime_ms=TICKET_LIFETIME_MS,
            max_answer_bytes=MAX_ANSWER_BYTES,
        ),
        ledger=ExecutionLedger(max_answer_bytes=MAX_ANSWER_BYTES),
        shedder=EntryShedder(),
        budget=CallerRetryBudget(share_percent=10),
        keeper=make_keeper(rng),
        service=settings.service,
        rng=rng,
        recorder=recorder,
        document_changed=document_changed,
        service_called=service_called,
        leave_notice_ms=settings.leave_notice_ms,
    )


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
