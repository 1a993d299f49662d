"""An offered document, what became of it, and what operators see of it."""

import enum
from dataclasses import dataclass
from typing import Protocol

from sassafraswinch.errors import InvalidFieldError
from sassafraswinch.version_claims import Fetch, Stamp


class Document(Protocol):
    """What the keeper needs of a parsed document."""

    version: int
    body: bytes


class Source(enum.Enum):
    """Where a document came from."""

    PLATFORM = "platform"
    PEER = "peer"


class Outcome(enum.Enum):
    """What became of an offered document."""

    ACCEPTED = "accepted"
    OLD = "old"
    SAME = "same"
    INVALID = "invalid"
    CONFLICT = "conflict"
    """Another content holds the same version; the smaller digest is in force."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A body with what parsing made of it.

    Attributes:
        stamp: version and digest; version 0 if the body can't be parsed.
        document: the parsed document; None if invalid, or known from before.
        errors: every fault; empty if valid.
    """

    stamp: Stamp
    document: Document | None = None
    errors: tuple[InvalidFieldError, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Offered:
    """Result of an offer.

    Attributes:
        outcome: what became of the document.
        stamp: version and digest of the offered content.
        errors: every fault of an invalid document.
        changed: whether another content is in force now; peers should be told
            at once.
        fetches: requests to send to peers.
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
    """Digest of the content that holds the version on every node."""
    dropped: str
    at_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """An invalid document that was offered, and why it isn't in force."""

    stamp: Stamp
    source: Source
    errors: tuple[InvalidFieldError, ...]
    at_ms: float


@dataclass(frozen=True, slots=True, kw_only=True)
class KeeperReport:
    """What operators see of the configuration on one node.

    Attributes:
        stamp: version and digest in force; version 0 if none is.
        age_ms: time since it came into force here.
        source: where it came from.
        syncing: whether the node still listens to peers and serves nothing.
        refusal: the latest invalid document, until a newer one is in force.
        conflicts: versions with two contents.
        undelivered: peers that claim a newer version and failed to deliver it.
    """

    stamp: Stamp
    age_ms: float
    source: Source | None
    syncing: bool
    refusal: Refusal | None
    conflicts: tuple[Conflict, ...]
    undelivered: tuple[str, ...]
