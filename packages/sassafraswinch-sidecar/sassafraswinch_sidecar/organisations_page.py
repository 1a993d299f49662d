"""Operator page that lists the organisations with their limits and usage."""

from collections.abc import Callable

from sassafraswinch.organisation_rates import OrganisationRates
from sassafraswinch.organisations import Organisation
from sassafraswinch_sidecar.caller_connection import (
    CallerConnection,
    HttpRequest,
    RequestHandler,
)
from sassafraswinch_sidecar.pages import respond_with_lines
from sassafraswinch_sidecar.routes import RouteTable

PATH = b"/organisations"


class OrganisationsPage:
    """Serves ``/organisations``, and passes all other paths to another page.

    ``GET /organisations`` returns a line for each organisation: its priority and limit,
    the requests that arrived and were admitted at all hosts, as last reported, and
    those that this host admitted itself. Keys aren't shown.

    Args:
        table: returns the routes and organisations in force.
        rates: usage of the organisations.
        others: page that serves the other paths.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        rates: OrganisationRates,
        others: RequestHandler,
        now_ms: Callable[[], float],
    ):
        self._table = table
        self._rates = rates
        self._others = others
        self._now_ms = now_ms

    def handle(self, request: HttpRequest, connection: CallerConnection) -> None:
        """Answer one request (RequestHandler)."""
        if request.target.partition(b"?")[0] != PATH:
            self._others.handle(request, connection)
            return
        table = self._table()
        organisations = table.organisations if table else None
        lines = [
            self._line(organisation, table.version)
            for organisation in (
                organisations.by_name.values() if organisations else ()
            )
        ]
        respond_with_lines(request, connection, lines)

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Do nothing: each request is answered at once (RequestHandler)."""

    def _line(self, organisation: Organisation, version: int) -> str:
        named = f"organisation={organisation.name} priority={organisation.priority}"
        limit = organisation.limit
        if limit is None:
            return f"{named} rate_per_s=none version={version}"
        decision, spent_here = self._rates.preview_decision(
            organisation, self._now_ms()
        )
        return (
            f"{named} rate_per_s={limit.rate_per_s:g} burst={limit.burst:g} "
            f"part={decision.limit_share:.3f} share={decision.share:.3f} "
            f"asked_per_s={decision.asked_per_s:.1f} spent={decision.spent:.0f} "
            f"spent_here={spent_here} version={version}"
        )
