"""Checks of the values in messages of peers, where they are decoded.

What peers report is added up, compared and sent on to all hosts. A value that no
sidecar reports, such as a rate that isn't a number, must not get that far: each round
of an aggregator would fail on it.
"""

import ipaddress
import math
from collections.abc import Callable, Iterable, Mapping

from thrift.Thrift import TException

from sassafraswinch_node.frames import WireError
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    FleetDigest,
    HeartbeatReply,
    Hello,
    HostLoads,
    HostReport,
    NoticeReport,
    OrganisationUses,
    RelayRequest,
    RelayResponse,
    ReplicaReply,
    RouteDemand,
    SentCount,
    ServerLoad,
    SummaryReply,
    SuspectNews,
    ZoneLoads,
    ZoneSummary,
)

MAX_RATE_PER_S = 1e12
"""Largest accepted rate, far above any real one, at which totals stop."""

MAX_WIRE_COUNT = 2**31 - 1
"""Greatest 32-bit integer of a message field, at which totals stop."""

MAX_WIRE_TOTAL = 2**63 - 1
"""Greatest 64-bit integer of a message field, at which totals stop."""


MAX_STAMP_US = 2**62
"""Latest accepted stamp of a notice, a time of day. The next ones are above all known
stamps, and must still fit their field."""


class InvalidValueError(WireError):
    """Raised for a message with a value that no sidecar sends."""


def wire_count(value: float) -> int:
    """Return a total as a 32-bit field carries it."""
    return min(round(value), MAX_WIRE_COUNT)


def wire_total(value: float) -> int:
    """Return a total as a 64-bit field carries it."""
    return min(round(value), MAX_WIRE_TOTAL)


def check_message(message: object) -> None:
    """Check the values of a decoded message.

    Raises:
        InvalidValueError: a value is out of range, or lists don't belong together.
    """
    check = _CHECKS.get(type(message))
    if check is None:
        return
    try:
        check(message)
    except (TException, AttributeError, TypeError) as error:
        # The generated code looks for missing fields in the outermost struct only.
        raise InvalidValueError(reason=f"a field is missing: {error!r}") from error


def _check_hello(hello: Hello) -> None:
    _check_address(hello.ip)


def _check_request(request: RelayRequest) -> None:
    _check_counts("request", (request.priority,))
    _check_notice(request.notice)


def _check_response(response: RelayResponse) -> None:
    for each in response.slot_times:
        each.validate()
        _require(math.isfinite(each.slot_ms), "slot_ms")
    _check_load(response.load)


def _check_reply(reply: HeartbeatReply) -> None:
    _check_load(reply.load)


def _check_report(report: HostReport) -> None:
    _check_load(report.load)
    _check_totals(report)


def _check_summary_reply(reply: SummaryReply) -> None:
    for ip in reply.gatherers:
        _check_address(ip)
    if reply.summary is not None:
        reply.summary.validate()
        _check_zone(reply.summary.loads)
        _check_totals(reply.summary)


def _check_digest(digest: FleetDigest) -> None:
    for zone in digest.zones:
        _check_zone(zone)
    _check_totals(digest)


def _check_suspects(news: SuspectNews) -> None:
    for suspect in news.suspects:
        suspect.validate()
        _check_counts("ages_ms", (*suspect.ages_ms, suspect.answered_age_ms or 0))


def _check_entries(reply: ReplicaReply) -> None:
    for entry in reply.entries:
        entry.validate()


def _check_totals(message: HostReport | ZoneSummary | FleetDigest) -> None:
    for demand in message.demand:
        _check_demand(demand)
    for count in message.counts:
        _check_sent(count)
    if message.uses is not None:
        _check_uses(message.uses)


def _check_demand(demand: RouteDemand) -> None:
    demand.validate()
    _require(0 <= demand.rate_per_s <= MAX_RATE_PER_S, "rate_per_s")
    _check_counts("demand", (demand.priority, demand.age_ms, *demand.slot_us.values()))


def _check_sent(count: SentCount) -> None:
    count.validate()
    _check_counts("counts", (count.sent, count.repeated))


def _check_uses(uses: OrganisationUses) -> None:
    uses.validate()
    _require(len(uses.names) == len(uses.asked_per_ks) == len(uses.spent), "uses")
    _check_counts("uses", (*uses.asked_per_ks, uses.hosts, uses.unknown_ms))


def _check_zone(zone: ZoneLoads) -> None:
    zone.validate()
    _check_counts("age_ms", (zone.age_ms,))
    _check_host_loads(zone.hosts)


def _check_host_loads(hosts: HostLoads) -> None:
    columns = (hosts.in_flight, hosts.queued, hosts.limits, hosts.flags)
    hosts_listed = len(hosts.ips)
    _require(all(len(column) == hosts_listed for column in columns), "hosts")
    for column in columns:
        _check_counts("hosts", column)
    for each in hosts.notices or ():
        each.validate()
        _check_notice(each.notice)
        _check_counts("notices", (each.rate_wait_ms, each.mean_hold_us))


def _check_load(load: ServerLoad) -> None:
    load.validate()
    values = (load.in_flight, load.queued, load.limit)
    _check_counts("load", (*values, load.rate_wait_ms, load.mean_hold_us))
    _check_notice(load.notice)


def _check_notice(notice: NoticeReport | None) -> None:
    if notice is None:
        return
    notice.validate()
    _require(notice.stamp <= MAX_STAMP_US, "stamp")
    if notice.rate_limit_per_s is None:
        return
    is_rate = math.isfinite(notice.rate_limit_per_s) and notice.rate_limit_per_s >= 0
    _require(is_rate, "rate_limit_per_s")


def _check_address(ip: str) -> None:
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise InvalidValueError(reason="an address isn't an IP address") from None


def _check_counts(name: str, values: Iterable[int]) -> None:
    _require(min(values, default=0) >= 0, name)


def _require(is_valid: bool, name: str) -> None:
    if not is_valid:
        raise InvalidValueError(reason=f"{name} out of range")


_CHECKS: Mapping[type, Callable[..., None]] = {
    Hello: _check_hello,
    RelayRequest: _check_request,
    RelayResponse: _check_response,
    HeartbeatReply: _check_reply,
    HostReport: _check_report,
    SummaryReply: _check_summary_reply,
    FleetDigest: _check_digest,
    SuspectNews: _check_suspects,
    ReplicaReply: _check_entries,
}
