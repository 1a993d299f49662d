"""Routes by host and longest prefix, and splits by weight."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.routes import Route, RouteTable, Share, WeightedRoundRobin


def route(name="r", host="a.example", prefix="/", shares=(("archiv", 1),), **fields):
    """Return a route with defaults for what a test doesn't name."""
    given_fields = {
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
        **given_fields,
    )


def test_longest_prefix_that_begins_the_path_wins():
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


def test_root_prefix_takes_every_path():
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
def test_each_part_stays_within_one_request_of_its_share(weights, requests):
    """An operator splits a route 90 to 10; a caller sends only a few dozen requests.

    With random choice the small part is off by half its share now and then. The
    chooser keeps every part near its share at any moment.
    """
    split = route(shares=tuple((f"s{n}", w) for n, w in enumerate(weights)))
    chooser = WeightedRoundRobin()
    counts = Counter(chooser.choose(split) for _ in range(requests))
    for number, weight in enumerate(weights):
        wanted = requests * weight / sum(weights)
        assert abs(counts[f"s{number}"] - wanted) <= len(weights)


def test_changed_split_starts_anew():
    chooser = WeightedRoundRobin()
    chooser.choose(route(shares=(("a", 1), ("b", 1))))
    chosen = {chooser.choose(route(shares=(("c", 1), ("d", 1)))) for _ in range(2)}
    assert chosen == {"c", "d"}
