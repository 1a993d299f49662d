"""Identification of the caller and organisation whose labels apply to a request."""

import enum
from dataclasses import dataclass

from sassafraswinch.document import Caller, Document, Organisation


class IdentityState(enum.Enum):
    """Whether the names in a request match the document."""

    KNOWN = "known"
    """Caller and organisation are in the document and belong together."""
    UNKNOWN = "unknown"
    """A name is missing or not in the document, and therefore has no labels."""
    MISMATCHED = "mismatched"
    """The caller belongs to another organisation; no labels of either apply."""


_NO_CALLER = Caller(name="")
_NO_ORGANISATION = Organisation(name="")


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestIdentity:
    """Caller and organisation whose labels apply; their names are empty if none do."""

    caller: Caller = _NO_CALLER
    organisation: Organisation = _NO_ORGANISATION
    state: IdentityState


def identify(
    document: Document, *, caller: str, organisation: str | None
) -> RequestIdentity:
    """Return the caller and organisation whose labels apply.

    A listed caller can't gain the labels of another organisation by naming it: no
    labels apply to such a request. Without an organisation header the caller's own
    organisation applies.

    Args:
        document: the document in force.
        caller: name of the caller; empty if there is none.
        organisation: name of the organisation; empty if there is none, None for any
            name that the document doesn't list.
    """
    known = document.callers.get(caller, _NO_CALLER)
    if known.organisation is not None:
        if organisation not in ("", known.organisation):
            return RequestIdentity(state=IdentityState.MISMATCHED)
        organisation = known.organisation
    found = document.organisations.get(organisation or "", _NO_ORGANISATION)
    complete = known is not _NO_CALLER and found is not _NO_ORGANISATION
    return RequestIdentity(
        caller=known,
        organisation=found,
        state=IdentityState.KNOWN if complete else IdentityState.UNKNOWN,
    )
