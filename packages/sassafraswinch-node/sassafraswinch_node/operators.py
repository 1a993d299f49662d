"""HTTP endpoint for operators: status, burn report, metrics and health of a node."""

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
"""State in which ``/health`` responds with 200; in all others it responds with 503."""


def operators_app(
    *, status: Callable[[], Status], burn: Callable[[], BurnReport]
) -> Starlette:
    """Return the read-only application of the operators' listener.

    Args:
        status: returns the current status of the node.
        burn: returns the current burn report of the node.
    """
    metrics = MetricsPage(status=status, burn=burn)

    async def show_status(request: Request) -> Response:
        return Response(serialize_status(status()), media_type=JSON_TYPE)

    async def show_burn(request: Request) -> Response:
        report = burn()
        output_format = request.query_params.get("format", "json")
        if output_format == "html":
            return HTMLResponse(burn_page(report))
        if output_format == "json":
            return Response(serialize_report(report), media_type=JSON_TYPE)
        return JSONResponse(
            {"error": "unknown format: expected json or html"}, status_code=400
        )

    async def show_metrics(request: Request) -> Response:
        body, content_type = metrics.render(request.headers.get("accept", ""))
        return Response(body, headers={"content-type": content_type})

    async def show_health(request: Request) -> Response:
        state = status().state
        status_code = 200 if state == SERVING else 503
        return JSONResponse({"state": state}, status_code=status_code)

    return Starlette(
        routes=[
            Route("/status", show_status),
            Route("/burn", show_burn),
            Route("/metrics", show_metrics),
            Route("/health", show_health),
        ]
    )
