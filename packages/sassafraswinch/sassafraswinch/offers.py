"""Document offers: candidates, their outcomes, and the report for operators."""

import enum
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch.errors import InvalidFieldError
from sassafraswinch.version_claims import Fetch, Stamp


class Document(Protocol):
    """A parsed document with its version and its published body."""

    version: int
    body: bytes


class Source(enum.Enum):
    """Source of a document."""

    PLATFORM = "platform"
    PEER = "peer"


class Outcome(enum.Enum):
    """Outcome of an offered document."""

    ACCEPTED = "accepted"
    OLD = "old"
    SAME = "same"
    INVALID = "invalid"
    CONFLICT = "conflict"
    """The same version has another content; the smaller digest is in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A document body with its parse result.

    Attributes:
        stamp: Version and digest; version 0 if the body can't be parsed.
        document: The parsed document; None if invalid, or parsed before.
        errors: All faults; empty if valid.
    """

    stamp: Stamp
    document: Document | None = None
    errors: tuple[InvalidFieldError, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class OfferResult:
    """Result of an offer.

    Attributes:
        outcome: Outcome of the offer.
        stamp: Version and digest of the offered content.
        errors: All faults of an invalid document.
        changed: Whether the content in force changed; it should be announced to peers
            at once.
        fetches: Requests to send to peers.
    """

    outcome: Outcome
    stamp: Stamp
    errors: tuple[InvalidFieldError, ...] = ()
    changed: bool = False
    fetches: tuple[Fetch, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Two contents were published under one version."""

    version: int
    kept: str
    """Digest of the content that is in force for the version on every node."""
    dropped: str
    at_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """An invalid document that was offered, with its faults."""

    stamp: Stamp
    source: Source
    errors: tuple[InvalidFieldError, ...]
    at_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReport:
    """Status of the configuration document on one node, for operators.

    Attributes:
        stamp: Version and digest in force; version 0 if none is.
        age_ms: Time since it came into force on this node.
        source: Source of the document in force.
        syncing: Whether the node still collects versions from peers and serves nothing.
        refusal: The latest invalid document, until a newer one is in force.
        conflicts: Versions with two contents.
        undelivered: Peers that announced a newer version and failed to deliver it.
    """

    stamp: Stamp
    age_ms: float
    source: Source | None
    syncing: bool
    refusal: Refusal | None
    conflicts: tuple[Conflict, ...]
    undelivered: tuple[str, ...]
