"""The ``traceparent`` header, by which a node knows the parent of a child call."""

import hashlib
import random

SPAN_MARK_DIGITS = 6
"""Digits of a span that follow from the rest: a foreign one has them by chance once in
16 million calls."""


def make_span(root_id: str, rng: random.Random) -> str:
    """Return a span of 16 hex digits that ``is_own_span`` recognises on any node."""
    drawn = f"{rng.getrandbits(64) | 1:016x}"[SPAN_MARK_DIGITS:]
    return drawn + _span_mark(root_id, drawn)


def is_own_span(traceparent: str | None) -> bool:
    """Return whether a node, of whatever host and run, made the span in the header."""
    ids = parse_traceparent(traceparent)
    if ids is None:
        return False
    drawn, mark = ids[1][:-SPAN_MARK_DIGITS], ids[1][-SPAN_MARK_DIGITS:]
    return mark == _span_mark(ids[0], drawn)


def _span_mark(root_id: str, drawn: str) -> str:
    digest = hashlib.blake2b(f"{root_id} {drawn}".encode(), digest_size=4)
    return digest.hexdigest()[:SPAN_MARK_DIGITS]


def parse_traceparent(text: str | None) -> tuple[str, str] | None:
    """Return trace id and span id of a ``traceparent`` header, None if malformed."""
    parts = (text or "").split("-")
    if len(parts) < 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    return parts[1], parts[2]


def serialize_traceparent(root_id: str, span_id: str) -> str:
    """Return the ``traceparent`` header for a dispatch."""
    return f"00-{root_id}-{span_id}-01"
