"""Conversion of host records to and from the thrift structs that nodes exchange."""

from sassafraswinch.hosts import HostRecord, HostState
from sassafraswinch.messages import HostsReply
from sassafraswinch_node.link_protocol import ttypes


def serialize_hosts_reply(reply: HostsReply) -> ttypes.HostsReply:
    """Return the thrift struct of a reply."""
    return ttypes.HostsReply([_serialize_record(record) for record in reply.hosts])


def parse_hosts_reply(struct: ttypes.HostsReply) -> HostsReply:
    """Return the reply that a validated thrift struct holds."""
    return HostsReply(hosts=tuple(_parse_record(record) for record in struct.hosts))


def _serialize_record(record: HostRecord) -> ttypes.HostRecord:
    return ttypes.HostRecord(
        record.name,
        record.service,
        record.availability_zone,
        record.state is HostState.LEAVING,
        record.link,
        record.entry,
        record.operators,
    )


def _parse_record(struct: ttypes.HostRecord) -> HostRecord:
    struct.validate()
    return HostRecord(
        name=struct.name,
        service=struct.service_name,
        availability_zone=struct.availability_zone,
        state=HostState.LEAVING if struct.leaving else HostState.LIVE,
        link=struct.link,
        entry=struct.entry,
        operators=struct.operators,
    )
