"""What a backend server states about itself in its responses."""

from dataclasses import dataclass
from typing import Protocol

from sassafraswinch_sidecar.http_fields import Fields
from sassafraswinch_sidecar.instances import NO_INCARNATION
from sassafraswinch_sidecar.relay_protocol.ttypes import NoticeReport


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerNotice:
    """What one response states about the server that sent it.

    Attributes:
        rate_limit_per_s: requests per second that the server accepts from all hosts
            together; None if it names no limit.
        leaving: whether it accepts no new requests for the rest of its lifetime.
        invalid_value: an unreadable value, which states nothing; None if there is none.
    """

    rate_limit_per_s: float | None = None
    leaving: bool = False
    invalid_value: bytes | None = None


NO_NOTICE = ServerNotice()
"""Notice of most responses: no limit, not leaving."""


class NoticeDecoder(Protocol):
    """Decodes notices; each platform adapter implements it."""

    def parse_notice(self, fields: Fields) -> ServerNotice:
        """Return what the fields of a response state about its server."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StampedNotice:
    """Latest notice of one server, as the sidecars report it to each other.

    Attributes:
        instance_id: the instance that gave it.
        stamp: orders the notices of one server, across restarts of its sidecar.
        rate_limit_per_s: requests per second that the server accepts from all hosts
            together; None for no limit.
        leaving: whether it accepts no new requests for the rest of its lifetime.
        incarnation: lifetime of the instance that gave it; ``NO_INCARNATION`` if it is
            unknown.
    """

    instance_id: str
    stamp: int
    rate_limit_per_s: float | None
    leaving: bool
    incarnation: int = NO_INCARNATION

    def may_be_of(self, instance_id: str, incarnation: int) -> bool:
        """Return whether a lifetime may have given it, which an unknown one may."""
        if self.instance_id != instance_id:
            return False
        return self.incarnation == incarnation or NO_INCARNATION in (
            self.incarnation,
            incarnation,
        )


def serialize_notice(notice: StampedNotice | None) -> NoticeReport | None:
    """Serialize a notice; None stays None."""
    if notice is None:
        return None
    return NoticeReport(
        instance_id=notice.instance_id,
        stamp=notice.stamp,
        rate_limit_per_s=notice.rate_limit_per_s,
        leaving=notice.leaving,
        incarnation=notice.incarnation,
    )


def parse_notice(report: NoticeReport | None) -> StampedNotice | None:
    """Parse a notice; None stays None."""
    if report is None:
        return None
    return StampedNotice(
        instance_id=report.instance_id,
        stamp=report.stamp,
        rate_limit_per_s=report.rate_limit_per_s,
        leaving=report.leaving,
        incarnation=report.incarnation,
    )
