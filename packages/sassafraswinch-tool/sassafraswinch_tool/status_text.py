"""Text rendering of node statuses, and detection of problems in them."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from sassafraswinch.status import Status
from sassafraswinch_tool.nodes import Reply
from sassafraswinch_tool.porcelain import NodeList
from sassafraswinch_tool.tables import format_table, printable

HEADERS = (
    "host",
    "zone",
    "service",
    "state",
    "document",
    "age",
    "in flight",
    "limit",
    "queued",
    "delay ms",
    "refused above",
    "owned",
    "links",
    "cpu %",
    "MB",
)
HEALTHY_STATES = frozenset({"serving", "leaving"})


def render_statuses(
    replies: Sequence[Reply[Status]], *, details: bool = True
) -> list[str]:
    """Return a table of the nodes, the nodes that did not respond, and problems.

    Args:
        replies: Reply of each node.
        details: Whether to add details of the node if there is only one.
    """
    if not replies:
        return ["no nodes"]
    statuses = [reply.result for reply in replies if reply.result]
    lines = []
    if statuses:
        lines += format_table(HEADERS, map(_format_row, statuses))
    if details and len(replies) == 1 and statuses:
        lines += _format_details(statuses[0])
    lines += render_unreachable(replies)
    lines += [printable(f"problem: {problem}") for problem in find_problems(statuses)]
    return lines


def render_unreachable(replies: Iterable[Reply]) -> list[str]:
    """Return a line for each node that did not respond."""
    return [
        printable(f"{reply.address}  unreachable: {reply.error}")
        for reply in replies
        if reply.result is None
    ]


def render_host_list_error(nodes: NodeList) -> list[str]:
    """Return a line if the platform's list of hosts could not be fetched."""
    if not nodes.host_list_error:
        return []
    return [printable(f"platform unreachable: {nodes.host_list_error}")]


def find_problems(statuses: Sequence[Status]) -> list[str]:
    """Return a description of each problem that needs an operator's attention."""
    problems = [
        f"{status.host} is {status.state}"
        for status in statuses
        if status.state not in HEALTHY_STATES
    ]
    problems += [
        f"{status.host}: {fault}"
        for status in statuses
        for fault in status.document_faults
    ]
    return problems + _find_document_mismatch(statuses)


def _find_document_mismatch(statuses: Sequence[Status]) -> list[str]:
    hosts = defaultdict(list)
    for status in statuses:
        hosts[status.document_version, status.document_digest].append(status.host)
    if len(hosts) < 2:
        return []
    groups = [
        f"{version} ({digest or 'no digest'}) on {_abbreviate_list(names)}"
        for (version, digest), names in sorted(hosts.items())
    ]
    return [f"documents in force differ: {'; '.join(groups)}"]


def _abbreviate_list(names: list[str], max_shown: int = 4) -> str:
    shown = ", ".join(names[:max_shown])
    return (
        f"{shown} and {len(names) - max_shown} more"
        if len(names) > max_shown
        else shown
    )


def _format_row(status: Status) -> tuple[object, ...]:
    threshold = status.threshold
    rank = f"{threshold.class_order}.{threshold.level}" if threshold else "-"
    links_up = sum(link.state == "up" for link in status.links)
    return (
        status.host,
        status.availability_zone,
        status.service,
        status.state,
        status.document_version or "none",
        format_age(status.document_age_ms) if status.document_version else "-",
        status.in_flight,
        status.limit,
        status.queued,
        f"{status.queue_delay_ms:.1f}",
        rank,
        status.owned_calls,
        f"{links_up}/{len(status.links)}",
        f"{status.cpu_percent:.1f}",
        f"{status.memory_mb:.0f}",
    )


def format_age(age_ms: float) -> str:
    """Return an age in the largest unit of which it has at least 2, such as ``3h``.

    Ages below 2 minutes are in seconds, such as ``12s``.
    """
    seconds = int(age_ms // 1000)
    for size, unit in ((86_400, "d"), (3_600, "h"), (60, "m")):
        if seconds >= 2 * size:
            return f"{seconds // size}{unit}"
    return f"{seconds}s"


def _format_details(status: Status) -> list[str]:
    lines = [
        "",
        f"incarnation {status.incarnation}",
        f"document digest {printable(status.document_digest) or 'none'}",
        f"control {status.control_bytes_per_s:.0f} bytes/s",
    ]
    if status.links:
        headers = ("link to", "state", "session", "silent ms")
        rows = [
            (link.host, link.state, link.session, f"{link.silent_ms:.0f}")
            for link in status.links
        ]
        lines += ["", *format_table(headers, rows)]
    if status.hosts:
        headers = ("host", "service", "zone", "state", "in flight", "delay ms")
        lines += ["", *format_table(headers, map(_format_host_row, status.hosts))]
    if status.counters:
        rows = sorted(status.counters.items())
        lines += ["", *format_table(("since the start", "count"), rows)]
    return lines


def _format_host_row(host) -> tuple[object, ...]:
    state = "leaving" if host.leaving else "linked" if host.linked else "not linked"
    return (
        host.name,
        host.service,
        host.availability_zone,
        state,
        host.in_flight,
        f"{host.queue_delay_ms:.1f}",
    )
