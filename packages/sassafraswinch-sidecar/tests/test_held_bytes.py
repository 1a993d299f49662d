"""The bound on bytes that a process holds."""

import pytest

from sassafraswinch_sidecar.held_bytes import HeldBytes, max_held_bytes


def test_bytes_for_peers_count_beside_the_bodies():
    held = HeldBytes(max_bytes=100)
    held.hold(60)
    assert held.fits(40)
    assert not held.fits(41)
    held.unsent_bytes = 41
    assert not held.fits()
    held.release(60)
    assert held.total_bytes == 41


@pytest.mark.parametrize("memory_mb", [200, 300])
def test_three_copies_of_what_is_held_leave_room_for_the_program(memory_mb):
    program_mb = 50
    assert 3 * max_held_bytes(memory_mb) / 1e6 + program_mb < memory_mb
