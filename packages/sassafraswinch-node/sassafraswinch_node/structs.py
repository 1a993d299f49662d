"""Conversion of messages between nodes to and from generated thrift structs.

Fields of a struct are passed in the order of ``link.thrift``. Thrift's accelerated
reader leaves a missing field unset, which ``validate`` of each struct detects.
"""

from sassafraswinch.messages import (
    Acknowledge,
    Answer,
    Call,
    Fence,
    FenceReply,
    FenceState,
    Forward,
    Headers,
    Heartbeat,
    Hello,
    Load,
    NodeId,
    Rank,
    ServiceThreshold,
)
from sassafraswinch.verdict import Reason, Verdict
from sassafraswinch_node.link_protocol import ttypes


def _codes(members, generated) -> tuple[dict, dict]:
    """Return maps from the members of an enumeration to wire numbers, and back."""
    numbers = {member: getattr(generated, member.name) for member in members}
    return numbers, {number: member for member, number in numbers.items()}


_VERDICT_NUMBERS, _VERDICTS = _codes(Verdict, ttypes.Verdict)
_REASON_NUMBERS, _REASONS = _codes(Reason, ttypes.Reason)
_STATE_NUMBERS, _STATES = _codes(FenceState, ttypes.FenceState)


def _serialize_headers(headers: Headers) -> list[str]:
    return [text for field in headers for text in field]


def _parse_headers(flat: list[str]) -> Headers:
    texts = iter(flat)
    return tuple(zip(texts, texts, strict=True))


def _serialize_rank(rank: Rank | None) -> ttypes.Rank | None:
    return None if rank is None else ttypes.Rank(*rank)


def _parse_rank(struct: ttypes.Rank | None) -> Rank | None:
    if struct is None:
        return None
    struct.validate()
    return Rank(struct.class_order, struct.level)


def _serialize_load(load: Load | None) -> ttypes.Load | None:
    if load is None:
        return None
    return ttypes.Load(
        load.in_flight,
        load.queued,
        load.limit,
        load.queue_delay_ms,
        load.leaving,
        _serialize_rank(load.threshold),
    )


def _parse_load(struct: ttypes.Load | None) -> Load | None:
    if struct is None:
        return None
    struct.validate()
    return Load(
        in_flight=struct.in_flight,
        queued=struct.queued,
        limit=struct.limit,
        queue_delay_ms=struct.queue_delay_ms,
        leaving=struct.leaving,
        threshold=_parse_rank(struct.threshold),
    )


def serialize_hello(hello: Hello) -> ttypes.Hello:
    """Return the struct of a hello."""
    return ttypes.Hello(
        hello.protocol_version,
        hello.node.host,
        hello.node.incarnation,
        hello.availability_zone,
        hello.service,
        hello.session,
        hello.document_version,
        hello.document_digest,
    )


def parse_hello(struct: ttypes.Hello) -> Hello:
    """Return the hello of a validated struct."""
    return Hello(
        protocol_version=struct.protocol_version,
        node=NodeId(struct.host, struct.incarnation),
        availability_zone=struct.availability_zone,
        service=struct.service_name,
        session=struct.session,
        document_version=struct.document_version,
        document_digest=struct.document_digest,
    )


def serialize_call(call: Call) -> ttypes.Call:
    """Return the struct of a call."""
    return ttypes.Call(
        call.number,
        call.root_id,
        call.service,
        call.operation,
        call.rank.class_order,
        call.rank.level,
        call.repeatable,
        call.remaining_ms,
        call.allowance,
        call.depth,
        call.progress,
        call.method,
        call.target,
        _serialize_headers(call.headers),
        call.body,
    )


def parse_call(struct: ttypes.Call) -> Call:
    """Return the call of a validated struct."""
    return Call(
        number=struct.number,
        root_id=struct.root_id,
        service=struct.service_name,
        operation=struct.operation,
        rank=Rank(struct.class_order, struct.level),
        repeatable=struct.repeatable,
        remaining_ms=struct.remaining_ms,
        allowance=struct.allowance,
        depth=struct.depth,
        progress=struct.progress,
        method=struct.method,
        target=struct.target,
        headers=_parse_headers(struct.headers),
        body=struct.body,
    )


def _parse_threshold(struct: ttypes.ServiceThreshold) -> ServiceThreshold:
    struct.validate()
    return ServiceThreshold(struct.service_name, Rank(struct.class_order, struct.level))


def serialize_answer(answer: Answer) -> ttypes.Answer:
    """Return the struct of an answer."""
    return ttypes.Answer(
        answer.number,
        _VERDICT_NUMBERS[answer.verdict],
        None if answer.reason is None else _REASON_NUMBERS[answer.reason],
        answer.status,
        _serialize_headers(answer.headers),
        answer.body,
        answer.unspent,
        [
            ttypes.ServiceThreshold(service, rank.class_order, rank.level)
            for service, rank in answer.thresholds
        ],
        answer.retry_after_ms,
        _serialize_load(answer.load),
    )


def parse_answer(struct: ttypes.Answer) -> Answer:
    """Return the answer of a validated struct."""
    return Answer(
        number=struct.number,
        verdict=_VERDICTS[struct.verdict],
        reason=None if struct.reason is None else _REASONS[struct.reason],
        status=struct.status,
        headers=_parse_headers(struct.headers),
        body=struct.body,
        unspent=struct.unspent,
        thresholds=tuple(map(_parse_threshold, struct.thresholds)),
        retry_after_ms=struct.retry_after_ms,
        load=_parse_load(struct.load),
    )


def serialize_fence_reply(reply: FenceReply) -> ttypes.FenceReply:
    """Return the struct of a fence reply."""
    return ttypes.FenceReply(reply.number, _STATE_NUMBERS[reply.state])


def parse_fence_reply(struct: ttypes.FenceReply) -> FenceReply:
    """Return the fence reply of a validated struct."""
    return FenceReply(number=struct.number, state=_STATES[struct.state])


def serialize_heartbeat(heartbeat: Heartbeat) -> ttypes.Heartbeat:
    """Return the struct of a heartbeat."""
    return ttypes.Heartbeat(
        heartbeat.sequence,
        _serialize_load(heartbeat.load),
        heartbeat.document_version,
        heartbeat.document_digest,
    )


def parse_heartbeat(struct: ttypes.Heartbeat) -> Heartbeat:
    """Return the heartbeat of a validated struct."""
    return Heartbeat(
        sequence=struct.sequence,
        load=_parse_load(struct.load),
        document_version=struct.document_version,
        document_digest=struct.document_digest,
    )


def serialize_forward(forward: Forward) -> ttypes.Forward:
    """Return the struct of a forwarded request."""
    return ttypes.Forward(
        forward.number,
        forward.ticket,
        forward.caller,
        forward.organisation,
        forward.service,
        forward.method,
        forward.target,
        _serialize_headers(forward.headers),
        forward.body,
        forward.remaining_ms,
    )


def parse_forward(struct: ttypes.Forward) -> Forward:
    """Return the forwarded request of a validated struct."""
    return Forward(
        number=struct.number,
        ticket=struct.ticket,
        caller=struct.caller,
        organisation=struct.organisation,
        service=struct.service_name,
        method=struct.method,
        target=struct.target,
        headers=_parse_headers(struct.headers),
        body=struct.body,
        remaining_ms=struct.remaining_ms,
    )


def serialize_fence(fence: Fence) -> ttypes.Fence:
    """Return the struct of a fence."""
    return ttypes.Fence(fence.floor_session, list(fence.numbers))


def parse_fence(struct: ttypes.Fence) -> Fence:
    """Return the fence of a validated struct."""
    return Fence(floor_session=struct.floor_session, numbers=tuple(struct.numbers))


def serialize_acknowledge(acknowledge: Acknowledge) -> ttypes.Acknowledge:
    """Return the struct of an acknowledgement."""
    return ttypes.Acknowledge(list(acknowledge.numbers))


def parse_acknowledge(struct: ttypes.Acknowledge) -> Acknowledge:
    """Return the acknowledgement of a validated struct."""
    return Acknowledge(numbers=tuple(struct.numbers))
