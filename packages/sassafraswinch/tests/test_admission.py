"""Tests of the adaptive gate: single calls, and load on a fake backend server."""

import random

import pytest

from sassafraswinch.admission import MAX_WAIT_MS, AdaptiveGate
from sassafraswinch.errors import InvariantError
from sassafraswinch.gate import BackendOutcome
from sassafraswinch.levels import IngressShedder
from sassafraswinch.messages import Rank
from sassafraswinch.service_time import MIN_SAMPLES, WINDOW_MS
from sassafraswinch.verdict import Reason

from .utils.gate_bench import SCENARIOS

PAYING, TRIAL = 0, 1


class Driver:
    """Offers calls to one gate; a cold server with eight slots has a limit of two."""

    def __init__(self, *, slots=8):
        self.gate = AdaptiveGate(slots=slots, rng=random.Random(1))
        self.now_ms = 0.0
        assert self.offer("a").start == ("a",)
        assert self.offer("b").start == ("b",)

    def offer(self, key, order=PAYING, level=0, progress=0, deadline_ms=5000.0):
        return self.gate.offer(
            key=key,
            rank=Rank(order, level),
            progress=progress,
            operation="lookup",
            deadline_at_ms=self.now_ms + deadline_ms,
            now_ms=self.now_ms,
        )

    def finish(self, key, outcome=BackendOutcome.OK, time_ms=10.0):
        return self.gate.finished(
            key=key, self_time_ms=time_ms, outcome=outcome, now_ms=self.now_ms
        )


@pytest.fixture
def driver():
    return Driver()


def test_class_then_progress_then_arrival_decide_who_starts(driver):
    for key, claim in {
        "trial": (TRIAL, 0, 0),
        "late level": (PAYING, 90, 0),
        "early level": (PAYING, 10, 0),
        "progressed": (PAYING, 127, 1),
    }.items():
        driver.offer(key, order=claim[0], level=claim[1], progress=claim[2])
    started = []
    for key in ("a", "b", "progressed", "late level", "early level"):
        started += driver.finish(key, outcome=BackendOutcome.CANCELLED).start
    assert started == ["progressed", "late level", "early level", "trial"]


def test_class_then_progress_then_level_decide_who_is_refused(driver):
    """Calls arrive one after the other at a full queue of four."""
    claims = {
        "progressed": (PAYING, 127, 1),
        "late level": (PAYING, 90, 0),
        "early level": (PAYING, 10, 0),
        "trial": (TRIAL, 0, 0),
        "middle level": (PAYING, 50, 0),
        "first level": (PAYING, 0, 0),
        "second progressed": (PAYING, 126, 1),
        "third progressed": (PAYING, 125, 1),
        "fourth progressed": (PAYING, 124, 2),
    }
    refused = []
    for key, (order, level, progress) in claims.items():
        decision = driver.offer(key, order=order, level=level, progress=progress)
        refused += [refusal.key for refusal in decision.refused]
    assert refused == [
        "trial",
        "late level",
        "middle level",
        "early level",
        "first level",
    ]


def test_full_queue_evicts_the_lowest_before_it_refuses_a_higher(driver):
    """A trial call waits in a full queue when a paying call arrives.

    The trial call must be refused at once as not run, and the paying call must wait.
    With the queue full of paying calls, a new call with the greatest level is refused.
    """
    for number in range(3):
        assert not driver.offer(f"paying {number}", level=number).refused
    assert not driver.offer("trial", order=TRIAL).refused
    (evicted,) = driver.offer("paying 3", level=3).refused
    assert (evicted.key, evicted.reason) == ("trial", Reason.EVICTED)
    (refused,) = driver.offer("paying 4", level=4).refused
    assert (refused.key, refused.reason) == ("paying 4", Reason.OVERLOADED)


def test_waiting_trial_is_evicted_when_a_paying_call_waited_too_long(driver):
    """A paying call is refused for its wait while a later trial call still waits.

    The slot that becomes free just after would go to the trial call, a priority
    inversion: a paying call is refused while a trial call is served.
    """
    driver.offer("paying")
    driver.now_ms = MAX_WAIT_MS / 2
    driver.offer("trial", order=TRIAL)
    driver.now_ms = MAX_WAIT_MS + 1
    refused = driver.gate.tick(driver.now_ms).refused
    assert {refusal.key for refusal in refused} == {"paying", "trial"}
    assert driver.finish("a").start == ()
    assert driver.offer("next trial", order=TRIAL).refused
    assert driver.offer("next paying").start


def test_ramp_of_a_cold_server_goes_on_while_calls_wait(driver):
    """Guards against calls that are refused for their wait at a server with free slots:
    a burst finds a cold limit, which grew once a round although all its calls waited.
    """
    for key in "cdef":
        assert not driver.offer(key).refused
    driver.now_ms = 0.95 * MAX_WAIT_MS
    started = [*driver.finish("a").start, *driver.finish("b").start]
    driver.now_ms = MAX_WAIT_MS + 1
    decision = driver.gate.tick(driver.now_ms)
    assert not decision.refused
    assert [*started, *decision.start] == list("cdef")


def test_call_that_cannot_finish_in_time_is_refused_until_the_estimate_expires():
    """Calls take 300 ms, then the deadlines of all calls are 100 ms away.

    Each call would run for nothing. Once all are refused there are no new measurements,
    so after two empty windows a call must be admitted as a probe; otherwise the calls
    of a server that has become fast would be refused for ever.
    """
    driver = Driver(slots=200)
    keys = [driver.offer(number).start[0] for number in range(MIN_SAMPLES)]
    driver.now_ms = 300.0
    for key in keys:
        driver.finish(key, time_ms=300.0)
    (refusal,) = driver.offer("hopeless", deadline_ms=100.0).refused
    assert refusal.reason is Reason.DEADLINE
    assert driver.offer("patient", deadline_ms=1000.0).start
    driver.now_ms += 2 * WINDOW_MS
    assert driver.offer("probe", deadline_ms=100.0).start


def test_calls_cancelled_at_their_deadline_count_for_the_queue_delay(driver):
    """The server hangs, and every call is cancelled after a second.

    If only fast calls counted in the mean, the estimated wait would be too short.
    """
    driver.finish("a", time_ms=10.0)
    driver.now_ms = 1000.0
    driver.offer("c")
    driver.now_ms = 2000.0
    before_ms = driver.gate.load(driver.now_ms).queue_delay_ms
    driver.finish("b", outcome=BackendOutcome.CANCELLED)
    driver.offer("d")
    assert driver.gate.load(driver.now_ms).queue_delay_ms > before_ms


def test_key_that_is_offered_twice_raises_invariant_error(driver):
    driver.offer("waiting")
    with pytest.raises(InvariantError):
        driver.offer("waiting")
    with pytest.raises(InvariantError):
        driver.offer("a")
        driver.finish("b")
        driver.finish("waiting")


def test_leaving_gate_refuses_waiting_and_new_calls(driver):
    driver.offer("waiting")
    (refusal,) = driver.gate.leave().refused
    assert (refusal.key, refusal.reason) == ("waiting", Reason.LEAVING)
    assert driver.offer("new").refused[0].reason is Reason.LEAVING
    assert driver.finish("a").start == ()


def scenario(name):
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


def run(name, *, shedder=None, seed=0):
    chosen = scenario(name)

    def make_gate():
        return AdaptiveGate(slots=chosen.hint, rng=random.Random(seed))

    return chosen.run(make_gate, seed, shedder)


@pytest.mark.parametrize(
    "name",
    [
        "surge x3",
        "surge x3, paying > capacity",
        "slow x5",
        "slow x5, hard repeats",
        "deep, surge x3",
    ],
)
def test_paying_goodput_and_recovery_under_pressure(name):
    """Demand triples, or the server becomes five times slower, for four seconds.

    Trial calls must be refused and paying calls served up to the capacity, no trial
    call may start just after a paying one was refused, and the goodput must recover
    within a second of the end.
    """
    figures = run(name, shedder=IngressShedder())
    assert figures.paying_percent >= 95
    assert figures.inversions == 0
    assert figures.recovery_ms <= 1000
    assert figures.wasted_percent < 5


@pytest.mark.parametrize(
    "name", ["hint half", "hint double", "hint none", "server queues, hint none"]
)
def test_wrong_hint_of_slots_is_corrected(name):
    figures = run(name)
    assert figures.paying_percent >= 95
    assert figures.all_percent >= 90
    assert figures.shed_percent < 1


def test_slow_server_with_free_slots_keeps_its_limit():
    """The server becomes five times slower, and three quarters of its slots are free.

    A limit that is cut by the ratio of latencies would refuse calls for which there are
    free slots. All calls must be served.
    """
    figures = run("slow x5, free slots")
    assert figures.all_percent >= 99


def test_server_that_sheds_everything_for_a_second_is_used_again_at_once():
    figures = run("drains 1 s")
    assert figures.paying_percent >= 70
    assert figures.recovery_ms <= 200
