"""Tests of starting, suspending and stopping child processes."""

import random
import signal

import pytest

from sassafraswinch_standins import processes
from sassafraswinch_standins.control import call_json
from sassafraswinch_standins.processes import ManagedProcess, ProcessFailedError


def make_process(tmp_path, **settings):
    return ManagedProcess(
        name="platform",
        module="sassafraswinch_standins.platform",
        settings=settings,
        directory=tmp_path,
    )


def test_process_serves_pauses_and_restarts(tmp_path):
    process = make_process(tmp_path, document={"version": 1})
    process.start()
    try:
        address = process.wait_listening(30)
        assert call_json(address, "/stats")["reads"] == 0
        process.pause()
        process.kill()
        assert not process.alive
        process.start()
        assert call_json(process.wait_listening(30), "/stats")["reads"] == 0
        assert process.cpu_s() > 0
        process.terminate()
        assert process.wait(30) == -signal.SIGTERM
    finally:
        process.kill()


def test_startup_error_contains_the_log(tmp_path):
    process = make_process(tmp_path, no_such_field=1)
    process.start()
    with pytest.raises(ProcessFailedError, match="no_such_field"):
        process.wait_listening(30)


def test_no_port_is_returned_twice(monkeypatch):
    """Two listeners of a fleet must not get the same port.

    Ports are chosen before any listener is bound, so a port that was chosen twice
    looked free both times. The second process then exited with "address already in
    use", in about one of twelve fleet starts.
    """
    monkeypatch.setattr(processes, "FIRST_PORT", 12_000)
    monkeypatch.setattr(processes, "LAST_PORT", 12_255)
    rng = random.Random(1)
    addresses = [processes.free_address(rng) for _ in range(64)]
    assert len(set(addresses)) == 64
