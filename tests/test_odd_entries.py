"""Tests of odd entries of other writers among the registrations of servers."""

import contextlib
import json

from hypothesis import example, given, settings, strategies as st

from sassafraswinch.errors import InvalidFieldsError
from sassafraswinch_platform.decoding import PlatformDecoder
from sassafraswinch_sidecar.message_codec import serialize_message
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    HeartbeatReply,
    NoticeReport,
    RelayRequest,
    ServerLoad,
)

REGISTRATION = {
    "service": "orders",
    "address": "10.128.0.9:8080",
    "zone": "brno-a",
    "slots": 8,
    "state": "ready",
    "seq": 1,
}

ODD_VALUES = st.one_of(
    st.integers(),
    st.integers(-(2**70), 2**70),
    st.sampled_from([2**31, 2**63 - 1, 2**63, 2**64, 10**400, -1, 0]),
    st.floats(),
    st.text(max_size=12),
    st.sampled_from(["", "\0", "a\r\nb", "10.0.0.1:80\n", "é", "\U0001f600"]),
    st.none(),
)


@settings(derandomize=True, deadline=None)
@given(
    instance_id=st.text(max_size=30),
    changes=st.dictionaries(st.sampled_from([*REGISTRATION, "born"]), ODD_VALUES),
)
@example(instance_id="i-7", changes={"born": 2**63})
def test_accepted_registration_fits_every_message_that_names_it(instance_id, changes):
    """Guards against a process that ends whenever it reports a server's lifetime."""
    value = json.dumps(REGISTRATION | changes).encode()
    with contextlib.suppress(InvalidFieldsError):
        instance = PlatformDecoder().parse_instance(instance_id, value)
        notice = NoticeReport(
            instance_id=instance.id,
            stamp=1,
            rate_limit_per_s=8.0,
            incarnation=instance.incarnation,
        )
        load = ServerLoad(in_flight=0, queued=0, limit=instance.slots, notice=notice)
        serialize_message(
            HeartbeatReply(sequence=0, revision=1, load=load, leaving=False)
        )
        serialize_message(
            RelayRequest(
                call_id=1,
                instance_id=instance.id,
                service_name=instance.service,
                request_id="",
                method="GET",
                target=b"/",
                headers=b"",
                body=b"",
                remaining_ms=1,
                max_wait_ms=1,
                priority=0,
                level=0,
                inner=False,
                idempotent=True,
                repeated=False,
                notice=notice,
            )
        )
