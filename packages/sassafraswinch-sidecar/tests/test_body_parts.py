"""Tests of the parts of a body."""

from hypothesis import given, settings, strategies as st

from sassafraswinch_sidecar.body_parts import SMALL_PART_BYTES, BodyParts

SIZES = st.lists(
    st.integers(1, 40) | st.integers(SMALL_PART_BYTES - 1, SMALL_PART_BYTES + 1),
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(sizes=SIZES)
def test_joined_parts_are_the_body(sizes):
    body = BodyParts()
    parts = [bytes([number % 256]) * size for number, size in enumerate(sizes)]
    for part in parts:
        body.append(part)
    assert body.join() == b"".join(parts)
    assert body.size_bytes == sum(sizes)


def test_tiny_parts_are_joined_as_they_arrive():
    """Guards against an object for each chunk of a few bytes."""
    body = BodyParts()
    for _ in range(100_000):
        body.append(b"x")
    assert len(body._parts) <= 2
