"""Status snapshot of a node, as shown to operators."""

from sassafraswinch.hosts import HostView
from sassafraswinch.node import Node
from sassafraswinch.offers import DocumentReport
from sassafraswinch.status import HostStatus, LinkStatus, Status
from sassafraswinch_node.links import LinkPool
from sassafraswinch_node.settings import Settings
from sassafraswinch_node.usage import UsageMeter


def build_status(
    *,
    settings: Settings,
    node: Node,
    pool: LinkPool,
    usage: UsageMeter,
    task_failures: int,
    now_ms: float,
) -> Status:
    """Return the current status of a node."""
    load = node.executor.load(now_ms)
    report = node.document_exchange.keeper.report(now_ms)
    return Status(
        host=settings.host,
        availability_zone=settings.availability_zone,
        service=settings.service,
        incarnation=node.node.incarnation,
        state=node.lifecycle.state.value,
        document_version=report.stamp.version,
        document_digest=report.stamp.digest,
        document_age_ms=report.age_ms,
        document_faults=document_faults(report),
        host_list_version=node.membership.list_version,
        in_flight=load.in_flight,
        queued=load.queued,
        limit=load.limit,
        queue_delay_ms=load.queue_delay_ms,
        threshold=load.threshold,
        owned_calls=len(node.owner.open),
        links=_link_statuses(pool),
        hosts=tuple(_host_status(node, view) for view in node.membership.views(now_ms)),
        counters={**node.counters(), "task_failures": task_failures},
        cpu_percent=usage.cpu_percent,
        memory_mb=usage.memory_mb,
        control_bytes_per_s=usage.control_bytes_per_s,
    )


def document_faults(report: DocumentReport) -> tuple[str, ...]:
    """Describe refused, conflicting and undelivered versions of the document."""
    faults = [str(error) for error in report.refusal.errors] if report.refusal else []
    faults += [
        f"version {conflict.version} was published with two contents:"
        f" {conflict.kept} is kept, {conflict.dropped} dropped"
        for conflict in report.conflicts
    ]
    faults += [
        f"{peer} announced a newer version but did not deliver it"
        for peer in report.undelivered
    ]
    return tuple(faults)


def _link_statuses(pool: LinkPool) -> tuple[LinkStatus, ...]:
    errors = pool.dial_errors()
    open_links = [
        LinkStatus(
            host=host,
            state="up",
            session=link.session,
            silent_ms=max(0.0, link.silent_for_ms()),
        )
        for host, link in pool.links().items()
    ]
    failed_links = [
        LinkStatus(host=host, state=f"down: {reason}", session=0, silent_ms=0.0)
        for host, reason in errors.items()
    ]
    return tuple(open_links + failed_links)


def _host_status(node: Node, view: HostView) -> HostStatus:
    load = node.router.load(view.name)
    return HostStatus(
        name=view.name,
        service=view.service,
        availability_zone=view.availability_zone,
        leaving=view.leaving,
        linked=view.linked,
        in_flight=load.in_flight if load else 0,
        queue_delay_ms=load.queue_delay_ms if load else 0.0,
    )
