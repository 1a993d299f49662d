"""Tests of the election of a zone's active sidecars."""

from hypothesis import given, strategies as st

from sassafraswinch_sidecar.zone_role import ZoneRole

WATCHERS_PER_ZONE, STEP_MS = 2, 50.0
IPS = [f"10.0.0.{number}" for number in range(1, 10)]


def new_role(own_ip):
    return ZoneRole(own_ip=own_ip, active_sidecars=WATCHERS_PER_ZONE, step_ms=STEP_MS)


def decided_role(own_ip, peers, now_ms=0.0):
    role = new_role(own_ip)
    role.update_role(peers, now_ms)
    return role


def settled_watchers(visible, rounds=40):
    """Let all sidecars decide in turn; return those that are active at the end.

    Args:
        visible: peers that each sidecar can reach.
        rounds: rounds of decisions, one step apart.
    """
    roles = {ip: new_role(ip) for ip in visible}
    following = dict.fromkeys(visible, False)
    for number in range(rounds):
        for ip, role in roles.items():
            role.update_role(
                {peer: following[peer] for peer in visible[ip]}, number * STEP_MS
            )
            following[ip] = role.is_active
    return {ip for ip, follows in following.items() if follows}


def test_two_sidecars_of_a_zone_are_active_and_the_others_stand_by():
    visible = {ip: set(IPS) - {ip} for ip in IPS}
    assert settled_watchers(visible) == set(IPS[:WATCHERS_PER_ZONE])
    role = decided_role(IPS[5], {ip: ip in IPS[:3] for ip in IPS if ip != IPS[5]})
    assert not role.is_active


def test_sidecar_that_reaches_no_peer_is_active_at_once():
    """A host is isolated from all others, but not from the platform."""
    role = decided_role(IPS[8], dict.fromkeys(IPS[:8], True))
    assert not role.is_active
    role.update_role({}, 1.0)
    assert role.is_active
    assert not role.has_active_peer


def test_lost_watchers_are_replaced_one_at_a_time():
    """Both watchers are lost: two sidecars take over in turn, not all thirty."""
    peers = dict.fromkeys(IPS[2:], False)
    roles = {ip: new_role(ip) for ip in IPS[2:]}
    taken_over_ms = {}
    for now_ms in range(0, 1_000, 10):
        for ip, role in roles.items():
            role.update_role({p: f for p, f in peers.items() if p != ip}, now_ms)
            if role.is_active:
                taken_over_ms.setdefault(ip, now_ms)
                peers[ip] = True
    assert set(taken_over_ms) == set(IPS[2:4])
    assert max(taken_over_ms.values()) <= STEP_MS


def test_all_sidecars_try_less_often_while_the_platform_is_unreachable():
    role = decided_role(IPS[8], dict.fromkeys(IPS[:8], False))
    role.update_role(dict.fromkeys(IPS[:8], False), 10 * STEP_MS)
    assert role.is_active
    assert role.sidecars_per_active == len(IPS) / WATCHERS_PER_ZONE


@given(st.lists(st.sets(st.sampled_from(IPS)), min_size=len(IPS), max_size=len(IPS)))
def test_each_inactive_sidecar_reaches_two_active_ones(views):
    """Any links are cut, also in one direction only."""
    visible = {ip: view - {ip} for ip, view in zip(IPS, views, strict=True)}
    following = settled_watchers(visible)
    for ip in set(IPS) - following:
        assert len(visible[ip] & following) >= WATCHERS_PER_ZONE


def test_takeover_is_soon_where_most_sidecars_cannot_fill_the_role():
    """Guards against a delay that grows with the zone: the last of a hundred sidecars
    is the only one that reaches the platform.
    """
    ips = [f"10.0.0.{number:03}" for number in range(100)]
    role = new_role(ips[-1])
    role.update_role(dict.fromkeys(ips[:-1], False), 1_000.0)
    assert not role.is_active
    assert role.takeover_ms <= 1_000.0 + 7 * STEP_MS
    role.update_role(dict.fromkeys(ips[:-1], False), role.takeover_ms)
    assert role.is_active
    assert role.takeover_ms is None


def test_twice_as_many_sidecars_may_take_over_after_each_step():
    """Guards against a whole zone that calls the platform at once."""
    delays_ms = []
    for ip in IPS[1:]:
        role = new_role(ip)
        role.update_role({peer: False for peer in IPS if peer < ip}, 0.0)
        delays_ms.append(role.takeover_ms or 0.0)
    assert delays_ms == [step * STEP_MS for step in (0, 1, 2, 2, 3, 3, 3, 3)]
