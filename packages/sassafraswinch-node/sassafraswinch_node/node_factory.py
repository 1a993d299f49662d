"""Factory functions that build a node and its parts from the settings."""

import os
import random
from collections.abc import Callable

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.document import Document, digest, parse_document
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.gate import Gate, OpenGate, StaticGate
from sassafraswinch.levels import IngressShedder
from sassafraswinch.membership import Membership
from sassafraswinch.messages import NodeId
from sassafraswinch.node import Node
from sassafraswinch.ports import BackendPort, CallerPort, LinkPort, Recorder
from sassafraswinch.retry import CallerRetryBudget
from sassafraswinch.routing import Router
from sassafraswinch.tickets import TicketLedger
from sassafraswinch.versions import DocumentStore
from sassafraswinch_node.settings import Settings

TICKET_LIFETIME_MS = 120_000
"""Time from the issue of a ticket within which a caller may use it."""

MAX_STORED_RESPONSE_BYTES = 8_388_608
"""Maximum bytes of responses stored for retries, on the owner and on the executing
node each."""


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
    """Return the decision logic of a node, connected to the given adapters."""
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
            max_answer_bytes=MAX_STORED_RESPONSE_BYTES,
        ),
        ledger=ExecutionLedger(max_answer_bytes=MAX_STORED_RESPONSE_BYTES),
        shedder=IngressShedder(),
        budget=CallerRetryBudget(share_percent=10),
        document_store=make_document_store(rng),
        service=settings.service,
        rng=rng,
        recorder=recorder,
        document_changed=document_changed,
        service_called=service_called,
        leave_notice_ms=settings.leave_notice_ms,
    )


def make_gate(settings: Settings, rng: random.Random) -> Gate:
    """Return the admission gate selected in the settings."""
    match settings.gate:
        case "open":
            return OpenGate()
        case "static":
            return StaticGate(slots=settings.slots_hint)
        case _:
            return AdaptiveGate(slots=settings.slots_hint, rng=rng)


def make_document_store(rng: random.Random) -> DocumentStore:
    """Return the store that selects which document of the platform is in force."""
    return DocumentStore(
        parse=lambda body: parse_document(body, source="document"),
        digest=digest,
        rng=rng,
    )
