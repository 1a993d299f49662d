"""Tests of the compression of documents."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.transfer import (
    UnpackError,
    pack_document,
    unpack_document,
)


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=2_000), st.integers(0, 2_000))
def test_truncated_document_is_an_error(body, kept):
    packed = pack_document(body)
    assert unpack_document(packed) == body
    if kept < len(packed):
        with pytest.raises(UnpackError):
            unpack_document(packed[:kept])


@pytest.mark.parametrize("body", (b"", b"x"))
def test_invalid_bytes_are_an_error(body):
    with pytest.raises(UnpackError):
        unpack_document(body)
