"""Order, bounds and refusals of the requests before one backend server."""

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.server_queue import QueuedRequest, ServerQueue


def request(
    name, *, inner=False, priority=0, give_up_at_ms=1_000.0, progress=0, last=False
):
    return QueuedRequest(name, inner, priority, give_up_at_ms, progress, last)


def started(queue, now_ms=0.0):
    return [found.item for found in queue.pop_startable(now_ms)]


def start_all(queue, *waiting):
    """Offer requests to a full queue, and return the order in which they start."""
    queue.enqueue(request("running"), 0.0)
    started(queue)
    for found in waiting:
        queue.enqueue(found, 0.0)
    order = []
    for _ in waiting:
        queue.running -= 1
        order += started(queue)
    return order


def test_calls_of_running_requests_start_before_new_ones_of_their_priority():
    """The deepest service is full while requests that are half done call it in turn.
    A call that is refused fails the whole request above it and wastes its work.
    """
    order = start_all(
        ServerQueue(limit=1),
        request("low", priority=2),
        request("high", priority=0),
        request("low call", inner=True, priority=2),
        request("high call", inner=True, priority=0),
    )
    assert order == ["high call", "high", "low call", "low"]


def test_status_checks_pass_a_service_that_is_full_of_lookups():
    """Lookups in a surge keep a service full with four calls each, which can wait for
    long. Status checks go there too, matter more, and wait for a tenth of the time:
    behind the calls each of them is refused at each of its servers.
    """
    queue = ServerQueue(limit=4, mean_hold_ms=50.0)
    refused = []
    for step in range(400):
        now_ms = step * 10.0
        # A quarter more than four slots of 50 ms can run.
        give_up_at_ms = now_ms + 280.0
        call = request("call", inner=True, priority=2, give_up_at_ms=give_up_at_ms)
        queue.enqueue(call, now_ms)
        if step % 10 == 0:
            check = request("check", priority=1, give_up_at_ms=now_ms + 36.0)
            if not queue.enqueue(check, now_ms):
                refused.append(check)
        refused += [
            found for found in queue.pop_expired(now_ms) if found.item == "check"
        ]
        if step % 5 == 0 and queue.running:
            queue.running = 0
        list(queue.pop_startable(now_ms))
    assert not refused


def test_further_calls_of_a_priority_start_first():
    """Lookups make five calls in turn of a service that is full. In order of arrival
    each of them is refused at some call, and most of what the service runs is wasted.
    """
    order = start_all(
        ServerQueue(limit=1),
        request("first call", inner=True, priority=2, progress=3),
        request("last call", inner=True, priority=2, progress=6),
        request("urgent first call", inner=True, priority=0, progress=2),
    )
    assert order == ["urgent first call", "last call", "first call"]


def test_request_that_makes_no_calls_goes_with_the_calls():
    """Lookups' calls fill the office that forms need alone. Behind all calls of their
    priority, forms run out of their short wait though their entry let them in.
    """
    order = start_all(
        ServerQueue(limit=1),
        request("lookup", priority=2),
        request("call", inner=True, priority=2, progress=3),
        request("form", priority=2, last=True),
        request("urgent call", inner=True, priority=0, progress=2),
    )
    assert order == ["urgent call", "form", "call", "lookup"]


def test_request_that_would_wait_too_long_is_refused_at_once():
    queue = ServerQueue(limit=1, mean_hold_ms=100.0)
    queue.enqueue(request("running"), 0.0)
    started(queue)
    assert not queue.enqueue(request("hasty", give_up_at_ms=50.0), 0.0)
    assert queue.enqueue(request("patient", give_up_at_ms=150.0), 0.0)
    assert queue.queued == 1


def test_waiting_request_leaves_at_its_time_and_only_once():
    queue = ServerQueue(limit=1, mean_hold_ms=1.0)
    queue.enqueue(request("running"), 0.0)
    started(queue)
    waiting = request("waiting", give_up_at_ms=50.0)
    queue.enqueue(waiting, 0.0)
    assert queue.pop_expired(49.0) == []
    assert [found.item for found in queue.pop_expired(50.0)] == ["waiting"]
    assert not queue.withdraw(waiting)
    queue.running -= 1
    assert started(queue) == []


def test_lower_limit_stops_starts_until_enough_has_ended():
    queue = ServerQueue(limit=2)
    for name in ("a", "b", "c"):
        queue.enqueue(request(name), 0.0)
    running = list(queue.pop_startable(0.0))
    queue.limit = 1
    queue.release_slot(running[0], 10.0)
    assert started(queue) == []
    queue.release_slot(running[1], 10.0)
    assert started(queue) == ["c"]


def test_requests_that_left_do_not_pile_up_below_more_important_ones():
    """An overload of minutes: calls of running requests take every slot, and new
    requests give up waiting by the thousand without ever reaching the top.
    """
    queue = ServerQueue(limit=1, mean_hold_ms=1.0)
    queue.enqueue(request("running"), 0.0)
    started(queue)
    for number in range(1_000):
        now_ms = number * 10.0
        queue.enqueue(request(number, priority=2, give_up_at_ms=now_ms + 50), now_ms)
        queue.enqueue(request("call", inner=True, give_up_at_ms=1e9), now_ms)
        queue.running -= 1
        assert started(queue, now_ms) == ["call"]
        queue.pop_expired(now_ms)
        assert len(queue._waiting) < 60


@settings(derandomize=True, deadline=None)
@given(
    st.integers(1, 4),
    st.lists(
        st.tuples(st.sampled_from(["offer", "finish", "withdraw", "expire"]),
                  st.booleans(), st.integers(0, 2)),
        max_size=60,
    ),
)  # fmt: skip
def test_no_more_than_the_limit_run_and_counts_hold(limit, steps):
    queue = ServerQueue(limit=limit)
    waiting, running = [], []
    for number, (step, inner, priority) in enumerate(steps):
        now_ms = number * 10.0
        if step == "offer":
            new = request(
                number, inner=inner, priority=priority, give_up_at_ms=now_ms + 200
            )
            if queue.enqueue(new, now_ms):
                waiting.append(new)
        elif step == "finish" and running:
            queue.release_slot(running.pop(), now_ms)
        elif step == "withdraw" and waiting:
            queue.withdraw(waiting.pop())
        elif step == "expire":
            late = queue.pop_expired(now_ms)
            waiting = [found for found in waiting if found not in late]
        new_running = list(queue.pop_startable(now_ms))
        running += new_running
        waiting = [found for found in waiting if found not in new_running]
        assert queue.running == len(running) <= limit
        assert queue.queued == len(waiting)
        assert not waiting or len(running) == limit
