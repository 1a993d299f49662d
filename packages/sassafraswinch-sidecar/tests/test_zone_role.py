"""Who does a duty for an availability zone."""

from hypothesis import given, strategies as st

from sassafraswinch_sidecar.zone_duty import ZoneDuty

WATCHERS, STEP_MS = 2, 50.0
IPS = [f"10.0.0.{number}" for number in range(1, 10)]


def new_duty(own_ip):
    return ZoneDuty(own_ip=own_ip, holders=WATCHERS, step_ms=STEP_MS)


def decided(own_ip, peers, now_ms=0.0):
    duty = new_duty(own_ip)
    duty.decide(peers, now_ms)
    return duty


def settle(sees, rounds=40):
    """Let all sidecars decide by turns; return who follows in the end.

    Args:
        sees: the peers that each sidecar can reach.
        rounds: rounds of decisions, one step apart.
    """
    duties = {ip: new_duty(ip) for ip in sees}
    following = dict.fromkeys(sees, False)
    for number in range(rounds):
        for ip, duty in duties.items():
            duty.decide({peer: following[peer] for peer in sees[ip]}, number * STEP_MS)
            following[ip] = duty.is_own
    return {ip for ip, follows in following.items() if follows}


def test_two_sidecars_of_a_zone_follow_and_the_others_stand_by():
    sees = {ip: set(IPS) - {ip} for ip in IPS}
    assert settle(sees) == set(IPS[:WATCHERS])
    duty = decided(IPS[5], {ip: ip in IPS[:3] for ip in IPS if ip != IPS[5]})
    assert not duty.is_own


def test_sidecar_that_sees_nobody_follows_at_once():
    """A host is cut off from all others, but not from the platform."""
    duty = decided(IPS[8], dict.fromkeys(IPS[:8], True))
    assert not duty.is_own
    duty.decide({}, 1.0)
    assert duty.is_own
    assert not duty.is_held


def test_lost_watchers_are_replaced_one_after_the_other():
    """Both watchers are gone: one call to the platform each, in turn, not thirty."""
    peers = dict.fromkeys(IPS[2:], False)
    duties = {ip: new_duty(ip) for ip in IPS[2:]}
    took = {}
    for now_ms in range(0, 1_000, 10):
        for ip, duty in duties.items():
            duty.decide({p: f for p, f in peers.items() if p != ip}, now_ms)
            if duty.is_own:
                took.setdefault(ip, now_ms)
                peers[ip] = True
    assert set(took) == set(IPS[2:4])
    assert max(took.values()) <= STEP_MS


def test_all_try_while_the_platform_is_away_each_so_much_less_often():
    duty = decided(IPS[8], dict.fromkeys(IPS[:8], False))
    duty.decide(dict.fromkeys(IPS[:8], False), 10 * STEP_MS)
    assert duty.is_own
    assert duty.spread == len(IPS) / WATCHERS


@given(st.lists(st.sets(st.sampled_from(IPS)), min_size=len(IPS), max_size=len(IPS)))
def test_whoever_doesnt_follow_reaches_two_that_do(views):
    """Links are cut in any way, one direction included."""
    sees = {ip: view - {ip} for ip, view in zip(IPS, views, strict=True)}
    following = settle(sees)
    for ip in set(IPS) - following:
        assert len(sees[ip] & following) >= WATCHERS
