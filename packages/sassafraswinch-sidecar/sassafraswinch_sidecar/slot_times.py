"""Slot time of a request and its child calls, by service."""

from collections.abc import Iterable, Mapping

from sassafraswinch_sidecar.relay_protocol.ttypes import SlotTime

SlotTimes = dict[str, float]
"""Slot time in milliseconds, by service."""


def add_slot_times(total_ms: SlotTimes, part_ms: Mapping[str, float]) -> None:
    """Add the slot times of a part of a call tree to the total."""
    for service, slot_ms in part_ms.items():
        total_ms[service] = total_ms.get(service, 0.0) + slot_ms


def serialize_slot_times(times_ms: Mapping[str, float]) -> list[SlotTime]:
    """Serialize slot times."""
    return [SlotTime(service, slot_ms) for service, slot_ms in times_ms.items()]


def parse_slot_times(slot_times: Iterable[SlotTime]) -> SlotTimes:
    """Parse slot times."""
    return {each.service_name: each.slot_ms for each in slot_times}
