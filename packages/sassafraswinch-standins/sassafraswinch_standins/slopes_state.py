"""Cost of a node's state: documents, tickets, received calls and burn series."""

import json
import time
from collections.abc import Iterator

import yaml

from sassafraswinch.burn import BurnRecorder
from sassafraswinch.classify import Classifier
from sassafraswinch.document import Document, digest, parse_document
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.messages import Answer, NodeId
from sassafraswinch.tickets import Dispatch, TicketLedger, fingerprint
from sassafraswinch.transfer import pack_document
from sassafraswinch.verdict import Verdict
from sassafraswinch_standins.slopes_timing import (
    ROUNDS,
    Figure,
    best_cpu_us,
    fit_line,
    held_bytes,
    peak_bytes,
)

DOCUMENT_BYTES = (10_000, 100_000, 950_000)
"""Approximate sizes; the figures name the actual sizes."""
PARSES_PER_ROUND = 1
"""Parses in a round: only one, since the largest document takes long."""
SERVICES = 50
CLASS_COUNTS = (10, 40, 160)
RECORDS = 2_000
SIX_HOURS_MS = 6 * 3_600_000
BODY = b"x" * 500


def make_body(size_bytes: int, *, classes: int = 10) -> bytes:
    """Return a valid document of about ``size_bytes``.

    Organisations, callers and operations are a third each of the entries; there are
    50 services. Each class but the last has two selectors.
    """
    entry_bytes = 85
    count = max(1, (size_bytes - 5_000) // (3 * entry_bytes))
    selecting_classes = [
        {
            "name": f"class-{number}",
            "organisations": f"tier=tier-{number}",
            "operations": "action in (approval, release)",
            "deadline_ms": 2_000,
        }
        for number in range(classes - 1)
    ]
    body = {
        "version": 1,
        "organisations": {
            f"organisation-{n}": {"labels": {"tier": f"tier-{n % 9}", "kind": "buyer"}}
            for n in range(count)
        },
        "callers": {
            f"caller-{n}": {"organisation": f"organisation-{n}", "labels": {"a": "b"}}
            for n in range(count)
        },
        "services": {
            f"service-{n}": {"slots": 120, "connections": 800} for n in range(SERVICES)
        },
        "operations": [
            {
                "name": f"op-{n}",
                "service": f"service-{n % SERVICES}",
                "method": "GET",
                "path": f"/r{n}/{{id}}",
                "labels": {"action": "lookup" if n else "approval"},
            }
            for n in range(count)
        ],
        "classes": [*selecting_classes, {"name": "rest", "deadline_ms": 2_000}],
        "non_repeatable": ["action in (approval, release)"],
    }
    return json.dumps(body, separators=(",", ":")).encode()


def _parse(body: bytes) -> Document:
    return parse_document(body, source="slopes")


def _document_figures() -> Iterator[Figure]:
    costs_ms, held_kb = {}, {}
    for size_bytes in DOCUMENT_BYTES:
        body = make_body(size_bytes)
        size_kb = len(body) / 1_000
        document, held = held_bytes(lambda body=body: _parse(body))
        held_kb[size_kb] = held / 1_000
        cost_us = best_cpu_us(
            lambda body=body: Classifier(document=_parse(body)), count=PARSES_PER_ROUND
        )
        costs_ms[size_kb] = cost_us / 1_000
        name = f"document of {size_kb:.0f} kB"
        entries = len(document.operations)
        yield Figure(name=f"{name}: operations", value=entries, unit="entries")
        yield Figure(name=f"{name}: taken", value=costs_ms[size_kb], unit="ms")
        yield Figure(name=f"{name}: held", value=held_kb[size_kb], unit="kB")
        packed_us = best_cpu_us(lambda body=body: pack_document(body), count=1)
        yield Figure(name=f"{name}: packing", value=packed_us / 1_000, unit="ms")
        packed = len(pack_document(body))
        yield Figure(name=f"{name}: packed", value=packed / 1_000, unit="kB")
    yield Figure(
        name="taking a document, per kB", value=fit_line(costs_ms)[1], unit="ms"
    )
    yield Figure(
        name="held for a document, per kB", value=fit_line(held_kb)[1], unit="kB"
    )
    peak = peak_bytes(lambda: _parse(body))
    yield Figure(
        name="most memory while the largest is read", value=peak / 1e6, unit="MB"
    )
    yaml_body = yaml.dump(json.loads(body), Dumper=yaml.CSafeDumper).encode()
    start_ns = time.process_time_ns()
    _parse(yaml_body)
    yaml_ms = (time.process_time_ns() - start_ns) / 1e6
    name = f"the largest as YAML, {len(yaml_body) / 1_000:.0f} kB: taken"
    yield Figure(name=name, value=yaml_ms, unit="ms")
    digest_us = best_cpu_us(lambda: digest(body), count=10)
    yield Figure(name="digest of the largest", value=digest_us, unit="us")
    yield from _classify_figures(document)


def _classify_figures(document: Document) -> Iterator[Figure]:
    classifier = Classifier(document=document)

    def classify_cached() -> None:
        found = classifier.find_operation("service-0", "GET", "/r0/7")
        classifier.classify(
            caller="caller-1", organisation="organisation-1", operation=found
        )

    yield Figure(
        name="classify, remembered",
        value=best_cpu_us(classify_cached, count=2_000),
        unit="us",
    )
    costs_us = {
        classes: _uncached_classify_us(_parse(make_body(50_000, classes=classes)))
        for classes in CLASS_COUNTS
    }
    base_us, per_class_us = fit_line(costs_us)
    yield Figure(name="classify anew, base", value=base_us, unit="us")
    yield Figure(
        name="classify anew, per class with two selectors",
        value=per_class_us,
        unit="us",
    )


def _uncached_classify_us(document: Document) -> float:
    """Return the cost to classify a new caller that only the last class matches."""
    classifier = Classifier(document=document)
    operation = document.operations[1]
    callers = iter(document.callers)
    return best_cpu_us(
        lambda: classifier.classify(
            caller=next(callers), organisation="", operation=operation
        ),
        count=len(document.callers) // (2 * ROUNDS),
    )


def _ticket_figures() -> Iterator[Figure]:
    node = NodeId("h1", 7)
    ledger = TicketLedger(
        node=node, secret=b"k" * 32, lifetime_ms=120_000, max_answer_bytes=2**23
    )
    issued, held = held_bytes(
        lambda: [ledger.issue("acme", "approve", 1.0) for _ in range(RECORDS)]
    )
    ticket_bytes = sum(ticket.__sizeof__() for ticket in issued)
    unused = max(0, held - ticket_bytes - issued.__sizeof__()) / RECORDS
    yield Figure(name="ticket not used", value=unused, unit="B")

    def use_tickets() -> None:
        for ticket in issued:
            request_fingerprint = fingerprint("POST", "/orders/7", ticket.encode())
            claim = ledger.claim(ticket, "acme", "approve", request_fingerprint, 2.0)
            assert isinstance(claim, Dispatch)
            answer = Answer(
                number=claim.number,
                verdict=Verdict.ANSWERED,
                status=200,
                body=BODY + bytes(1),
            )
            ledger.finish(claim.number, answer, 3.0)

    _, held = held_bytes(use_tickets)
    yield Figure(name="ticket with an answer of 500 B", value=held / RECORDS, unit="B")


def _ledger_figures() -> Iterator[Figure]:
    ledger, owner = ExecutionLedger(max_answer_bytes=2**23), NodeId("h2", 8)

    def receive_calls() -> None:
        for number in range(1, RECORDS + 1):
            ledger.receive(owner, 1, number)
            ledger.start(owner, number)
            answer = Answer(
                number=number,
                verdict=Verdict.ANSWERED,
                status=200,
                body=BODY + bytes(1),
            )
            ledger.finish(owner, number, answer)

    _, held = held_bytes(receive_calls)
    yield Figure(name="received call, unacknowledged", value=held / RECORDS, unit="B")

    def acknowledge_calls() -> ExecutionLedger:
        kept = ExecutionLedger(max_answer_bytes=2**23)
        for number in range(1, RECORDS + 1):
            kept.receive(owner, 1, number)
            kept.start(owner, number)
            answer = Answer(number=number, verdict=Verdict.ANSWERED, status=200)
            kept.finish(owner, number, answer)
            kept.acknowledge(owner, (number,))
        return kept

    _, remaining = held_bytes(acknowledge_calls)
    yield Figure(
        name="received call, acknowledged", value=remaining / RECORDS, unit="B"
    )


def _burn_figures() -> Iterator[Figure]:
    series = 16

    def fill_recorder() -> BurnRecorder:
        recorder = BurnRecorder(host="h1", now_ms=0.0)
        for now_ms in range(0, SIX_HOURS_MS, 300_000):
            for number in range(series):
                recorder.record(
                    class_name="rest",
                    operation=f"op-{number}",
                    verdict=Verdict.ANSWERED,
                    reason=None,
                    latency_ms=5.0 + number,
                    now_ms=float(now_ms),
                )
        return recorder

    _, held = held_bytes(fill_recorder)
    yield Figure(name="burn series", value=held / series / 1_000, unit="kB")


def measure() -> Iterator[Figure]:
    """Measure documents by size, and the memory of single records."""
    yield from _document_figures()
    yield from _ticket_figures()
    yield from _ledger_figures()
    yield from _burn_figures()
