"""``traceparent`` header, which identifies the parent of a child call."""

import hashlib
import random

SPAN_CHECKSUM_DIGITS = 6
"""Hex digits of a span id that are a checksum of the rest; a span of another tracer has
a valid checksum by chance once in 16 million calls."""


def make_span(root_id: str, rng: random.Random) -> str:
    """Return a span id of 16 hex digits that ``is_own_span`` recognises on any node."""
    random_digits = f"{rng.getrandbits(64) | 1:016x}"[SPAN_CHECKSUM_DIGITS:]
    return random_digits + _span_checksum(root_id, random_digits)


def is_own_span(traceparent: str | None) -> bool:
    """Return whether the span in the header was made by a node, on any host."""
    ids = parse_traceparent(traceparent)
    if ids is None:
        return False
    random_digits, checksum = (
        ids[1][:-SPAN_CHECKSUM_DIGITS],
        ids[1][-SPAN_CHECKSUM_DIGITS:],
    )
    return checksum == _span_checksum(ids[0], random_digits)


def _span_checksum(root_id: str, random_digits: str) -> str:
    digest = hashlib.blake2b(f"{root_id} {random_digits}".encode(), digest_size=4)
    return digest.hexdigest()[:SPAN_CHECKSUM_DIGITS]


def parse_traceparent(text: str | None) -> tuple[str, str] | None:
    """Return trace id and span id of a ``traceparent`` header, None if malformed."""
    parts = (text or "").split("-")
    if len(parts) < 4 or len(parts[1]) != 32 or len(parts[2]) != 16:
        return None
    return parts[1], parts[2]


def serialize_traceparent(root_id: str, span_id: str) -> str:
    """Return the ``traceparent`` header of a dispatch."""
    return f"00-{root_id}-{span_id}-01"
