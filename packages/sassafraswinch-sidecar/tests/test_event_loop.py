"""Tests of the event loop of the sidecar process."""

import asyncio
import os

from sassafraswinch_sidecar.event_loop import new_event_loop


def test_loop_opens_no_io_uring():
    """A host may forbid io_uring and end a process that requests it."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        opened = runner.run(_descriptors())
    assert opened
    assert not [name for name in opened if "uring" in name]


async def _descriptors():
    await asyncio.sleep(0)
    return [_name(number) for number in os.listdir("/proc/self/fd")]


def _name(number):
    try:
        return os.readlink(f"/proc/self/fd/{number}")
    except FileNotFoundError:
        return ""  # The descriptor of the listing itself.
