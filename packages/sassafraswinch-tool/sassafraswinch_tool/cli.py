"""Command line of the operators' tool, ``sassafraswinch``."""

import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path

import defopt

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_node.burn_page import burn_page
from sassafraswinch_tool import porcelain
from sassafraswinch_tool.burn_text import render_burn
from sassafraswinch_tool.explain import (
    UnknownOperationError,
    render_json,
    render_text,
)
from sassafraswinch_tool.nodes import DEFAULT_TIMEOUT_MS
from sassafraswinch_tool.output import (
    burn_fields,
    check_fields,
    print_errors,
    print_json,
    print_lines,
    status_fields,
)
from sassafraswinch_tool.porcelain import ExitCode, NodeList
from sassafraswinch_tool.status_text import (
    find_problems,
    render_host_list_error,
    render_statuses,
    render_unreachable,
)
from sassafraswinch_tool.watch import FleetWatch, watch as watch_views

DESCRIPTION = """\
Inspect sassafraswinch nodes, and check documents and settings before use.

Examples:
  sassafraswinch check examples/brno.yaml
  sassafraswinch explain examples/brno.yaml --caller buyer-17 \\
      --organisation acme --operation approve-order
  sassafraswinch status 10.0.0.1:7003 10.0.0.2:7003
  sassafraswinch burn --hosts http://10.0.0.9:8080 --html burn.html
  sassafraswinch watch --hosts http://10.0.0.9:8080

Exit codes: 0 success, 1 a problem was found, 2 invalid input, 3 a node or the
platform did not respond (the remaining results are still shown).
"""


def check(file: Path, *, json: bool = False) -> int:
    """Check a document or the settings of a node, and list every fault.

    Example: sassafraswinch check examples/brno.yaml

    Exit codes: 0 no faults (cautions may be printed), 2 faults found.

    Args:
        file: YAML or JSON file to check.
        json: print faults and cautions as JSON.
    """
    result = porcelain.check(file)
    if json:
        print_json(check_fields(result))
    else:
        print_errors(result.faults)
        print_lines([f"caution: {caution}" for caution in result.cautions])
        if not result.faults:
            print_lines([f"{file}: valid {result.kind.value}"])
    return ExitCode.BAD_INPUT if result.faults else ExitCode.OK


def explain(
    document: Path,
    *,
    caller: str = "",
    organisation: str = "",
    operation: str,
    json: bool = False,
) -> int:
    """Explain how a document classifies a request: labels, selectors, class, limits.

    Example: sassafraswinch explain examples/brno.yaml --organisation acme
    --operation "POST /schvaleni/orders/7/approval"

    Exit codes: 0 success, 2 a document with faults or an unknown operation.

    Args:
        document: YAML or JSON file of the document.
        caller: name of the caller.
        organisation: name of the organisation.
        operation: name of the operation, or method and URL path of a request.
        json: print JSON instead of text.
    """
    explanation = porcelain.explain(
        document, caller=caller, organisation=organisation, operation=operation
    )
    print(render_json(explanation) if json else render_text(explanation))
    return ExitCode.OK


def status(
    *addresses: str,
    hosts: str | None = None,
    json: bool = False,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> int:
    """Show the status of nodes, with details if there is only one.

    Example: sassafraswinch status 10.0.0.1:7003

    Exit codes: 0 no problems, 1 a node isn't serving or reports a fault, or the nodes
    use different documents, 2 invalid input, 3 a node or the platform did not respond.

    Args:
        addresses: operators' endpoints of nodes, each IP:PORT.
        hosts: URL of the platform; all hosts on its list are included.
        json: print JSON instead of text.
        timeout_ms: timeout of each request, in milliseconds.
    """
    return asyncio.run(_status(addresses, hosts, json, timeout_ms))


async def _status(
    address_texts: Sequence[str], hosts: str | None, json: bool, timeout_ms: float
) -> int:
    nodes = await _find_nodes(address_texts, hosts, timeout_ms)
    replies = await porcelain.status(nodes.addresses, timeout_ms=timeout_ms)
    if json:
        print_json([status_fields(reply) for reply in replies])
    else:
        print_lines(render_statuses(replies))
    if nodes.host_list_error or any(reply.result is None for reply in replies):
        return ExitCode.UNREACHABLE
    problems = find_problems([reply.result for reply in replies])
    return ExitCode.PROBLEM if problems or not replies else ExitCode.OK


async def _find_nodes(
    address_texts: Sequence[str], hosts: str | None, timeout_ms: float
) -> NodeList:
    if not address_texts and not hosts:
        raise ValueError("no nodes specified: pass node addresses or --hosts")
    nodes = await porcelain.find_nodes(
        address_texts, platform_url=hosts, timeout_ms=timeout_ms
    )
    print_errors(render_host_list_error(nodes))
    return nodes


def burn(
    *addresses: str,
    hosts: str | None = None,
    json: bool = False,
    html: Path | None = None,
    picture: Path | None = None,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> int:
    """Show the combined service-level burn of nodes; docs/BURN.md explains it.

    Example: sassafraswinch burn --hosts http://10.0.0.9:8080 --picture burn.png

    Exit codes: 0 no alerts, 1 an alert is active, 2 invalid input or a file that can't
    be written, 3 a node or the platform did not respond.

    Args:
        addresses: operators' endpoints of nodes, each IP:PORT.
        hosts: URL of the platform; all hosts on its list are included.
        json: print JSON instead of text.
        html: also write the report as an HTML page to this file.
        picture: also write the report as a chart to this file: .png, .svg or .pdf.
        timeout_ms: timeout of each request, in milliseconds.
    """
    return asyncio.run(_burn(addresses, hosts, json, html, picture, timeout_ms))


async def _burn(
    address_texts: Sequence[str],
    hosts: str | None,
    json: bool,
    html: Path | None,
    picture: Path | None,
    timeout_ms: float,
) -> int:
    nodes = await _find_nodes(address_texts, hosts, timeout_ms)
    fleet = await porcelain.burn(nodes.addresses, timeout_ms=timeout_ms)
    if json:
        print_json(burn_fields(fleet))
    else:
        print_lines(render_burn(fleet.report) + render_unreachable(fleet.unreachable))
    if html is not None:
        html.write_text(burn_page(fleet.report), encoding="utf-8")
    if picture is not None:
        # Imported here because importing matplotlib takes half a second.
        from sassafraswinch_tool.burn_picture import draw_burn

        draw_burn(fleet.report, picture)
    if nodes.host_list_error or fleet.unreachable:
        return ExitCode.UNREACHABLE
    alerts = any(series.alerts for series in fleet.report.series)
    return ExitCode.PROBLEM if alerts else ExitCode.OK


def watch(
    *addresses: str,
    hosts: str | None = None,
    count: int | None = None,
    interval_ms: float = 1_000,
    timeout_ms: float = DEFAULT_TIMEOUT_MS,
) -> int:
    """Show a live view of the status and burn of nodes, until Ctrl-C.

    Example: sassafraswinch watch 10.0.0.1:7003 --interval-ms 500

    Exit codes: 0 success or interrupted with Ctrl-C, 2 invalid input, 3 a node or the
    platform did not respond in the last view.

    Args:
        addresses: operators' endpoints of nodes, each IP:PORT.
        hosts: URL of the platform; its list of hosts is fetched again for each view.
        count: exit after this number of views.
        interval_ms: interval between two views, in milliseconds.
        timeout_ms: timeout of each request, in milliseconds.
    """
    if not addresses and not hosts:
        raise ValueError("no nodes specified: pass node addresses or --hosts")
    fleet_watch = FleetWatch(
        address_texts=addresses, platform_url=hosts, timeout_ms=timeout_ms
    )
    views = watch_views(
        fleet_watch.fetch_view, stream=sys.stdout, count=count, interval_ms=interval_ms
    )
    try:
        view = asyncio.run(views)
    except KeyboardInterrupt:
        return ExitCode.OK
    return ExitCode.OK if view.complete else ExitCode.UNREACHABLE


def main(argv: Sequence[str] | None = None) -> None:
    """Run one command and exit with its code."""
    try:
        code = run(sys.argv[1:] if argv is None else list(argv))
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the pipe, such as head, has closed it. Standard output is
        # redirected to the null device, because Python would otherwise report an
        # error when it flushes the remaining output on exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.OK
    sys.exit(code)


def run(argv: list[str]) -> int:
    """Run one command, reporting invalid input on stderr.

    Args:
        argv: Arguments without the name of the program.

    Returns:
        The ``ExitCode`` of the command.
    """
    try:
        return defopt.run(
            [check, explain, status, burn, watch],
            argv=argv or ["--help"],
            no_negated_flags=True,
            argparse_kwargs={"prog": "sassafraswinch", "description": DESCRIPTION},
        )
    except InvalidFieldsError as group:
        print_errors(group.exceptions)
        return ExitCode.BAD_INPUT
    except BrokenPipeError:
        raise
    except (UnknownOperationError, OSError, ValueError) as error:
        print_errors([error])
        return ExitCode.BAD_INPUT
