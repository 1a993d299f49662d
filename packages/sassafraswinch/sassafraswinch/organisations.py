"""Organisations: whose key a request carries, and how much each may send."""

from collections.abc import Iterable
from dataclasses import dataclass, field

BEARER = "bearer"
"""Authentication scheme of keys (RFC 6750); its case doesn't matter (RFC 9110)."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """How much an organisation may send over all hosts together.

    Attributes:
        rate_per_s: lasting rate; above 0.
        burst: requests that may come on top at once.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """One organisation.

    Attributes:
        name: what backend servers, logs and pages know it by.
        priority: rank of its requests before that of their route; None for the
            route's alone.
        limit: bound on its requests; None for no bound.
    """

    name: str
    priority: int | None = None
    limit: RateLimit | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationKeys:
    """An organisation and its keys, which no text of an error or a log shows."""

    organisation: Organisation
    api_keys: tuple[str, ...] = field(repr=False)


class AmbiguousOrganisationError(ValueError):
    """A name or a key stands for two organisations."""


class Organisations:
    """All organisations of one configuration.

    Args:
        organisation_keys: the organisations with their keys.

    Raises:
        AmbiguousOrganisationError: two share a name or a key.
    """

    def __init__(self, *, organisation_keys: Iterable[OrganisationKeys]):
        self.by_name: dict[str, Organisation] = {}
        self._by_key: dict[str, Organisation] = {}
        for entry in organisation_keys:
            organisation = entry.organisation
            name = organisation.name
            if name in self.by_name:
                raise AmbiguousOrganisationError(f"{name} is listed twice")
            self.by_name[name] = organisation
            for key in entry.api_keys:
                holder = self._by_key.setdefault(key, organisation)
                if holder is not organisation:
                    raise AmbiguousOrganisationError(
                        f"a key belongs to {holder.name} and to {name}"
                    )

    def find(self, key: str | None) -> Organisation | None:
        """Return the organisation that holds a key."""
        return None if key is None else self._by_key.get(key)


def parse_bearer_key(values: list[bytes]) -> str | None:
    """Return the key of a request's ``Authorization`` fields.

    Args:
        values: the value of each such field. Several of them leave open who sends
            the request, so there is no key then.
    """
    if len(values) != 1:
        return None
    scheme, _, key = values[0].decode("latin-1").strip().partition(" ")
    if scheme.lower() != BEARER:
        return None
    return key.strip() or None
