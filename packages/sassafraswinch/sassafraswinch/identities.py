"""Whose labels count for a request, by the names that it carries."""

import enum
from dataclasses import dataclass

from sassafraswinch.document import Caller, Document, Organisation


class IdentityState(enum.Enum):
    """How the names that a request carries fit the document."""

    KNOWN = "known"
    """Caller and organisation are in the document and belong together."""
    UNKNOWN = "unknown"
    """A name is missing or not in the document, and so has no labels."""
    MISMATCHED = "mismatched"
    """The caller belongs to another organisation; neither one's labels count."""


_NO_CALLER = Caller(name="")
_NO_ORGANISATION = Organisation(name="")


@dataclass(frozen=True, slots=True, kw_only=True)
class Identified:
    """The caller and the organisation whose labels count, without name if none."""

    caller: Caller = _NO_CALLER
    organisation: Organisation = _NO_ORGANISATION
    state: IdentityState


def identify(
    document: Document, *, caller: str, organisation: str | None
) -> Identified:
    """Return whose labels count.

    A listed caller can't gain another organisation's labels by naming it: the
    request then counts as nobody's. Without an organisation header the caller's
    own organisation counts.

    Args:
        document: the document in force.
        caller: name of the caller; empty where there is none.
        organisation: name of the organisation; empty where there is none, None
            for any name that the document doesn't list.
    """
    known = document.callers.get(caller, _NO_CALLER)
    if known.organisation is not None:
        if organisation not in ("", known.organisation):
            return Identified(state=IdentityState.MISMATCHED)
        organisation = known.organisation
    found = document.organisations.get(organisation or "", _NO_ORGANISATION)
    complete = known is not _NO_CALLER and found is not _NO_ORGANISATION
    return Identified(
        caller=known,
        organisation=found,
        state=IdentityState.KNOWN if complete else IdentityState.UNKNOWN,
    )
