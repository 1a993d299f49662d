"""How long connections may rest, learnt from those that were lost."""

from sassafraswinch_sidecar.idle_limit import (
    DEFAULT_SERVER_IDLE_LIMIT_MS,
    MIN_ATTRIBUTED_IDLE_MS,
    SHORTENED_LIMIT_LIFE_MS,
    IdleLimit,
)


def test_each_loss_halves_the_rest_that_is_trusted_for_a_while():
    limit = IdleLimit()
    limit.record_loss(400.0, 0.0)
    assert limit.limit_ms(1.0) == 200.0
    limit.record_loss(190.0, 1_000.0)
    assert limit.limit_ms(1_001.0) == 95.0
    limit.record_loss(900.0, 2_000.0)
    assert limit.limit_ms(2_001.0) == 95.0
    assert (
        limit.limit_ms(2_000.0 + SHORTENED_LIMIT_LIFE_MS)
        == DEFAULT_SERVER_IDLE_LIMIT_MS
    )


def test_losses_of_busy_connections_say_nothing_of_idle_ones():
    """A server runs requests and resets their connections, busy ones too. Trusting none
    any more would open a connection for each request, beyond what the server accepts.
    """
    limit = IdleLimit()
    for number in range(50):
        limit.record_loss(MIN_ATTRIBUTED_IDLE_MS - 1, number * 10.0)
    assert limit.limit_ms(500.0) == DEFAULT_SERVER_IDLE_LIMIT_MS
    limit.record_loss(MIN_ATTRIBUTED_IDLE_MS, 500.0)
    assert limit.limit_ms(501.0) >= MIN_ATTRIBUTED_IDLE_MS / 2
