"""The command line of the operators' tool, ``sassafraswinch``."""

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
from sassafraswinch_tool.nodes import TIMEOUT_MS
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
    render_list_error,
    render_statuses,
    render_unreachable,
)
from sassafraswinch_tool.watch import FleetWatch, watch as watch_views

DESCRIPTION = """\
See what the nodes of sassafraswinch do, and check files before they are used.

Examples:
  sassafraswinch check examples/brno.yaml
  sassafraswinch explain examples/brno.yaml --caller buyer-17 \\
      --organisation acme --operation approve-order
  sassafraswinch status 10.0.0.1:7003 10.0.0.2:7003
  sassafraswinch burn --hosts http://10.0.0.9:8080 --html burn.html
  sassafraswinch watch --hosts http://10.0.0.9:8080

Exit codes: 0 all well, 1 a problem was found, 2 wrong input, 3 a node or the
platform gave no answer (the rest is shown all the same).
"""


def check(file: Path, *, json: bool = False) -> int:
    """Check a document or a node's settings, and name every fault.

    Example: sassafraswinch check examples/brno.yaml

    Exit codes: 0 no faults (cautions may be printed), 2 faults.

    Args:
        file: YAML or JSON file.
        json: print faults and cautions as JSON.
    """
    found = porcelain.check(file)
    if json:
        print_json(check_fields(found))
    else:
        print_errors(found.faults)
        print_lines([f"caution: {caution}" for caution in found.cautions])
        if not found.faults:
            print_lines([f"{file}: valid {found.kind.value}"])
    return ExitCode.BAD_INPUT if found.faults else ExitCode.OK


def explain(
    document: Path,
    *,
    caller: str = "",
    organisation: str = "",
    operation: str,
    json: bool = False,
) -> int:
    """Tell how a document classifies one request: labels, selectors, class, bounds.

    Example: sassafraswinch explain examples/brno.yaml --organisation acme
    --operation "POST /schvaleni/orders/7/approval"

    Exit codes: 0 explained, 2 a document with faults or an unknown operation.

    Args:
        document: YAML or JSON file.
        caller: name of the caller.
        organisation: name of the organisation.
        operation: name of the operation, or method and URL path of a request.
        json: print JSON.
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
    timeout_ms: float = TIMEOUT_MS,
) -> int:
    """Show the status of nodes; of a single one with all details.

    Example: sassafraswinch status 10.0.0.1:7003

    Exit codes: 0 all well, 1 a node isn't serving or reports a fault or documents
    differ, 2 wrong input, 3 a node gave no answer.

    Args:
        addresses: operators' addresses of nodes, each IP:PORT.
        hosts: URL of the platform; also ask all hosts on its list.
        json: print JSON.
        timeout_ms: time for one answer.
    """
    return asyncio.run(_status(addresses, hosts, json, timeout_ms))


async def _status(
    texts: Sequence[str], hosts: str | None, json: bool, timeout_ms: float
) -> int:
    nodes = await _find_nodes(texts, hosts, timeout_ms)
    replies = await porcelain.status(nodes.addresses, timeout_ms=timeout_ms)
    if json:
        print_json([status_fields(reply) for reply in replies])
    else:
        print_lines(render_statuses(replies))
    if nodes.list_error or any(reply.said is None for reply in replies):
        return ExitCode.UNREACHABLE
    problems = find_problems([reply.said for reply in replies])
    return ExitCode.PROBLEM if problems or not replies else ExitCode.OK


async def _find_nodes(
    texts: Sequence[str], hosts: str | None, timeout_ms: float
) -> NodeList:
    if not texts and not hosts:
        raise ValueError("no nodes: give their addresses, or --hosts")
    nodes = await porcelain.find_nodes(texts, platform_url=hosts, timeout_ms=timeout_ms)
    print_errors(render_list_error(nodes))
    return nodes


def burn(
    *addresses: str,
    hosts: str | None = None,
    json: bool = False,
    html: Path | None = None,
    picture: Path | None = None,
    timeout_ms: float = TIMEOUT_MS,
) -> int:
    """Show the service-level burn of nodes, added up; docs/BURN.md explains it.

    Example: sassafraswinch burn --hosts http://10.0.0.9:8080 --picture burn.png

    Exit codes: 0 no alerts, 1 an alert is raised, 2 wrong input or a file that can't
    be written, 3 a node gave no answer.

    Args:
        addresses: operators' addresses of nodes, each IP:PORT.
        hosts: URL of the platform; also ask all hosts on its list.
        json: print JSON.
        html: also write a page for people to this file.
        picture: also write a picture to this file; .png, .svg or .pdf.
        timeout_ms: time for one answer.
    """
    return asyncio.run(_burn(addresses, hosts, json, html, picture, timeout_ms))


async def _burn(
    texts: Sequence[str],
    hosts: str | None,
    json: bool,
    html: Path | None,
    picture: Path | None,
    timeout_ms: float,
) -> int:
    nodes = await _find_nodes(texts, hosts, timeout_ms)
    fleet = await porcelain.burn(nodes.addresses, timeout_ms=timeout_ms)
    if json:
        print_json(burn_fields(fleet))
    else:
        print_lines(render_burn(fleet.report) + render_unreachable(fleet.unreachable))
    if html is not None:
        html.write_text(burn_page(fleet.report), encoding="utf-8")
    if picture is not None:
        # matplotlib takes half a second to import; only a picture needs it.
        from sassafraswinch_tool.burn_picture import draw_burn

        draw_burn(fleet.report, picture)
    if nodes.list_error or fleet.unreachable:
        return ExitCode.UNREACHABLE
    alerts = any(series.alerts for series in fleet.report.series)
    return ExitCode.PROBLEM if alerts else ExitCode.OK


def watch(
    *addresses: str,
    hosts: str | None = None,
    count: int | None = None,
    interval_ms: float = 1_000,
    timeout_ms: float = TIMEOUT_MS,
) -> int:
    """Show status and burn of nodes live, until Ctrl-C.

    Example: sassafraswinch watch 10.0.0.1:7003 --interval-ms 500

    Exit codes: 0 ended, 2 wrong input, 3 a node gave no answer in the last view.

    Args:
        addresses: operators' addresses of nodes, each IP:PORT.
        hosts: URL of the platform; its list is read again for each view.
        count: end after so many views.
        interval_ms: time between two views.
        timeout_ms: time for one answer.
    """
    if not addresses and not hosts:
        raise ValueError("no nodes: give their addresses, or --hosts")
    fleet = FleetWatch(texts=addresses, platform_url=hosts, timeout_ms=timeout_ms)
    views = watch_views(
        fleet.take, stream=sys.stdout, count=count, interval_ms=interval_ms
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
        # Whoever read the output, such as head, has seen enough. What is still
        # buffered goes nowhere, or Python would complain at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.OK
    sys.exit(code)


def run(argv: list[str]) -> int:
    """Run one command; wrong input is told on stderr.

    Args:
        argv: arguments without the name of the program.

    Returns:
        One of ``ExitCode``.
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
