"""The HTTP endpoint for operators: status, burn, metrics and health of one node."""

from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import HTMLResponse, JSONResponse, Response
from starlette.routing import Route

from sassafraswinch.burn_report import BurnReport, serialize_report
from sassafraswinch.status import Status, serialize_status
from sassafraswinch_node.burn_page import burn_page
from sassafraswinch_node.metrics import MetricsPage

JSON_TYPE = "application/json"
SERVING = "serving"
"""The state in which ``/health`` answers 200; in all others it answers 503."""


def operators_app(
    *, status: Callable[[], Status], burn: Callable[[], BurnReport]
) -> Starlette:
    """Return the application of the operators' listener; it changes nothing.

    Args:
        status: takes a snapshot of the node.
        burn: takes a burn report of the node.
    """
    metrics = MetricsPage(status=status, burn=burn)

    async def show_status(request: Request) -> Response:
        return Response(serialize_status(status()), media_type=JSON_TYPE)

    async def show_burn(request: Request) -> Response:
        report = burn()
        form = request.query_params.get("format", "json")
        if form == "html":
            return HTMLResponse(burn_page(report))
        if form == "json":
            return Response(serialize_report(report), media_type=JSON_TYPE)
        return JSONResponse({"error": "format is json or html"}, status_code=400)

    async def show_metrics(request: Request) -> Response:
        body, content_type = metrics.render(request.headers.get("accept", ""))
        return Response(body, headers={"content-type": content_type})

    async def show_health(request: Request) -> Response:
        state = status().state
        code = 200 if state == SERVING else 503
        return JSONResponse({"state": state}, status_code=code)

    return Starlette(
        routes=[
            Route("/status", show_status),
            Route("/burn", show_burn),
            Route("/metrics", show_metrics),
            Route("/health", show_health),
        ]
    )
