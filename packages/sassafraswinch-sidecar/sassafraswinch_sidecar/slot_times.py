"""Slot time that a request and the calls below it take, by service."""

from collections.abc import Iterable, Mapping

from sassafraswinch_sidecar.relay_protocol.ttypes import SlotTime

SlotTimes = dict[str, float]
"""Milliseconds by service."""


def add_slot_times(total_ms: SlotTimes, taken_ms: Mapping[str, float]) -> None:
    """Add what a part of a tree took to what is known of the whole."""
    for service, part_ms in taken_ms.items():
        total_ms[service] = total_ms.get(service, 0.0) + part_ms


def serialize_slot_times(taken_ms: Mapping[str, float]) -> list[SlotTime]:
    """Write slot times."""
    return [SlotTime(service, part_ms) for service, part_ms in taken_ms.items()]


def parse_slot_times(told: Iterable[SlotTime]) -> SlotTimes:
    """Read slot times."""
    return {taken.service_name: taken.slot_ms for taken in told}
