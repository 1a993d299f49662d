"""Route lookup by host and longest prefix, and choice of services by weight."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.routes import Route, RouteTable, Share, WeightedRoundRobin


def route(name="r", host="a.example", prefix="/", shares=(("archiv", 1),), **fields):
    """Return a route with default values for the fields that aren't given."""
    all_fields = {
        "idempotent": True,
        "max_attempts": 2,
        "timeout_ms": 1_000.0,
        "target_latency_ms": 500.0,
        "priority": 0,
    } | fields
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        shares=tuple(Share(service=s, weight=w) for s, w in shares),
        **all_fields,
    )


def test_longest_matching_prefix_wins():
    table = RouteTable(
        version=1,
        routes=(
            route("short", prefix="/a/"),
            route("long", prefix="/a/b/"),
            route("other", host="b.example", prefix="/a/b/c/"),
        ),
    )
    assert table.find("a.example", "/a/b/c/d").name == "long"
    assert table.find("A.Example:80", "/a/x?p=/a/b/").name == "short"
    assert table.find("a.example", "/ab/") is None
    assert table.find("a.example", "/a") is None
    assert table.find("c.example", "/a/") is None


def test_root_prefix_matches_every_path():
    table = RouteTable(version=1, routes=(route("all", prefix="/"),))
    assert table.find("a.example", "/x").name == "all"
    assert table.find("a.example", "/").name == "all"


def test_services_of_all_shares():
    table = RouteTable(
        version=1, routes=(route(shares=(("archiv", 9), ("prehled", 1))),)
    )
    assert table.services == {"archiv", "prehled"}


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.integers(1, 100), min_size=2, max_size=5),
    st.integers(20, 200),
)
def test_request_counts_stay_near_their_shares(weights, requests):
    """An operator splits a route 90 to 10; a caller sends only a few dozen requests.

    With a random choice the smaller count would sometimes be off by half its share. The
    round-robin keeps every count near its share at any moment.
    """
    split = route(shares=tuple((f"s{n}", w) for n, w in enumerate(weights)))
    chooser = WeightedRoundRobin()
    counts = Counter(chooser.choose(split) for _ in range(requests))
    for number, weight in enumerate(weights):
        expected = requests * weight / sum(weights)
        assert abs(counts[f"s{number}"] - expected) <= len(weights)


def test_changed_services_reset_the_credits():
    chooser = WeightedRoundRobin()
    chooser.choose(route(shares=(("a", 1), ("b", 1))))
    chosen = {chooser.choose(route(shares=(("c", 1), ("d", 1)))) for _ in range(2)}
    assert chosen == {"c", "d"}
