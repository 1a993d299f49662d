"""The order of the platform's changes, also after its store was restored."""

from dataclasses import dataclass
from typing import NamedTuple


class Revision(NamedTuple):
    """A moment of the platform's store; a later one is greater.

    Attributes:
        era: how often the store has come back from an older copy.
        number: its counter of changes, which goes back with each era.
    """

    era: int
    number: int


UNKNOWN = Revision(era=0, number=0)
"""The revision of a copy that knows nothing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """How much a copy of the platform's data knows.

    Attributes:
        revision: all changes up to it.
        routes_version: the version of its routes. A restored store lacks confirmed
            versions until they are written again, so it isn't told by the revision.
    """

    revision: Revision
    routes_version: int

    def is_behind(self, other: "Position") -> bool:
        """Return whether another copy knows something that this one doesn't."""
        return (
            other.revision > self.revision or other.routes_version > self.routes_version
        )
