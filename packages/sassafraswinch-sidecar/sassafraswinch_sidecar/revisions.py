"""Revisions that order the platform's changes, across restores of its store."""

from dataclasses import dataclass
from typing import NamedTuple


class Revision(NamedTuple):
    """State of the platform's store at one moment; later revisions compare greater.

    Attributes:
        era: number of times that the store was restored from an older copy.
        number: the store's change counter, which may go back with each era.
    """

    era: int
    number: int


UNKNOWN = Revision(era=0, number=0)
"""Revision of an empty replica."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """Extent of a replica of the platform's data.

    Attributes:
        revision: all changes up to this revision are included.
        routes_version: version of the routes. A restored store lacks confirmed versions
            until they are written again, so the revision doesn't imply it.
    """

    revision: Revision
    routes_version: int

    def is_behind(self, other: "Position") -> bool:
        """Return whether another replica has data that this one lacks."""
        return (
            other.revision > self.revision or other.routes_version > self.routes_version
        )
