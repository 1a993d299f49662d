"""Shows operators the organisations, their limits, and what they use of them."""

from collections.abc import Callable

from sassafraswinch.organisation_rates import OrganisationRates
from sassafraswinch.organisations import Organisation
from sassafraswinch_sidecar.http_server import (
    CallerConnection,
    HttpRequest,
    RequestHandler,
)
from sassafraswinch_sidecar.routes import RouteTable

PATH = b"/organisations"


class OrganisationsPage:
    """Serves ``/organisations``, and leaves all other paths to another page.

    ``GET /organisations`` gives a line for each organisation: its priority and limit,
    what all hosts asked and let in as far as this host was told, and what this host
    let in itself. Keys aren't shown.

    Args:
        table: returns the routes and organisations in force.
        rates: knows what is let in.
        others: page of the other paths.
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
        """Answer one question (RequestHandler)."""
        if request.target.partition(b"?")[0] != PATH:
            self._others.handle(request, connection)
            return
        table = self._table()
        listed = table.organisations if table else None
        lines = [
            self._line(organisation, table.version)
            for organisation in (listed.by_name.values() if listed else ())
        ]
        connection.respond(
            request,
            status=200,
            header_lines=b"Content-Type: text/plain; charset=utf-8\r\n",
            body="".join(f"{line}\n" for line in lines).encode(),
        )

    def caller_disconnected(self, request: HttpRequest) -> None:
        """Nothing is under way (RequestHandler)."""

    def _line(self, organisation: Organisation, version: int) -> str:
        named = f"organisation={organisation.name} priority={organisation.priority}"
        limit = organisation.limit
        if limit is None:
            return f"{named} rate_per_s=none version={version}"
        seen, spent_here = self._rates.preview_decision(organisation, self._now_ms())
        return (
            f"{named} rate_per_s={limit.rate_per_s:g} burst={limit.burst:g} "
            f"part={seen.limit_share:.3f} share={seen.share:.3f} "
            f"asked_per_s={seen.asked_per_s:.1f} spent={seen.spent:.0f} "
            f"spent_here={spent_here} version={version}"
        )
