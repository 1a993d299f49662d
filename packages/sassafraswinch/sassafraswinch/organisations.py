"""Organisations that send requests: their API keys, priorities and rate limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field

BEARER = "bearer"
"""Authentication scheme of keys (RFC 6750); case-insensitive (RFC 9110)."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RateLimit:
    """Rate limit of an organisation, over all hosts together.

    Attributes:
        rate_per_s: sustained rate; above 0.
        burst: requests that may arrive at once on top of the rate.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """An organisation that sends requests.

    Attributes:
        name: its name in request headers for backend servers, logs and pages.
        priority: its priority, which ranks before that of a request's route; None to
            rank by the route's priority alone.
        limit: rate limit on its requests; None for no limit.
    """

    name: str
    priority: int | None = None
    limit: RateLimit | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationKeys:
    """An organisation and its API keys, which never appear in errors or logs."""

    organisation: Organisation
    api_keys: tuple[str, ...] = field(repr=False)


class AmbiguousOrganisationError(ValueError):
    """A name or an API key is used by two organisations."""


class Organisations:
    """All organisations of one configuration.

    Args:
        organisation_keys: the organisations with their API keys.

    Raises:
        AmbiguousOrganisationError: two organisations share a name or an API key.
    """

    def __init__(self, *, organisation_keys: Iterable[OrganisationKeys]):
        self.by_name: dict[str, Organisation] = {}
        self._by_key: dict[str, Organisation] = {}
        for item in organisation_keys:
            organisation = item.organisation
            name = organisation.name
            if name in self.by_name:
                raise AmbiguousOrganisationError(
                    f"{name} is the name of two organisations"
                )
            self.by_name[name] = organisation
            for key in item.api_keys:
                holder = self._by_key.setdefault(key, organisation)
                if holder is not organisation:
                    raise AmbiguousOrganisationError(
                        f"an API key is assigned to {holder.name} and to {name}"
                    )

    def find(self, key: str | None) -> Organisation | None:
        """Return the organisation with an API key; None if there is none."""
        return None if key is None else self._by_key.get(key)


def parse_bearer_key(values: list[bytes]) -> str | None:
    """Return the bearer key of a request's ``Authorization`` fields.

    Args:
        values: the value of each such field. With several fields the sender is
            ambiguous, so there is no key.
    """
    if len(values) != 1:
        return None
    scheme, _, key = values[0].decode("latin-1").strip().partition(" ")
    if scheme.lower() != BEARER:
        return None
    return key.strip() or None
