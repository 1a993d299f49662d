"""Which requests count as the same."""

import pytest

from sassafraswinch.request_digest import (
    RequestContent,
    digest_request,
    digest_text,
    path_tag,
)

REQUEST = {
    "method": "POST",
    "target": b"/orders/1",
    "headers": b"Host: shop.example\r\nAuthorization: Bearer k1\r\n",
    "body": b"order",
}


def digests(**changed):
    return digest_request(RequestContent(**REQUEST | changed))


def test_request_sent_again_at_another_host_is_the_same():
    """A caller sends a request again: its id, its time limit, the service beside which
    it arrives and the order of its fields are others, and it is still the same request.
    """
    again = (
        b"authorization:  Bearer k1\r\nX-Request-Id: 2\r\nX-Deadline-Ms: 9\r\n"
        b"X-Caller-Service: other\r\nHost: shop.example\r\n"
    )
    assert digests(headers=again) == digests()


@pytest.mark.parametrize(
    "changed",
    [
        {"method": "PUT"},
        {"target": b"/orders/2"},
        {"body": b"other"},
        {"body": b""},
        {"headers": b"Host: shop.example\r\nAuthorization: Bearer k2\r\n"},
        {"headers": b"Host: else.example\r\nAuthorization: Bearer k1\r\n"},
        {"headers": b"Host: shop.example\r\n"},
    ],
)
def test_another_request_or_caller_has_other_digests(changed):
    assert not set(digests(**changed)) & set(digests())


def test_query_changes_one_digest_of_two():
    first, second = (
        digests(target=b"/orders/1?page=1"),
        digests(target=b"/orders/1?p=2"),
    )
    assert len(first) == len(second) == 2
    assert set(first) & set(second) == set(digests())


def test_parts_cant_be_shifted_into_each_other():
    """A caller moves bytes between path and body; the digests must not meet."""
    assert digests(target=b"/orders/", body=b"1order") != digests()


def test_text_shows_a_part():
    (digest,) = digests()
    assert digest.hex().startswith(digest_text(digest))
    assert len(digest_text(digest)) == 16


def test_digests_begin_with_the_tag_of_the_path():
    for digest in digests(target=b"/orders/1?page=1"):
        assert digest.startswith(path_tag(b"/orders/1?page=2"))


def test_without_organisations_releases_agree_on_a_digest():
    """Guards against hosts of two releases that name one request differently."""
    request = RequestContent(
        "GET", b"/orders/1", b"Host: a\r\nAuthorization: Bearer k\r\n", b"b"
    )
    assert digest_text(digest_request(request)[0]) == "df8919f1e64c969e"


def test_a_replaced_key_of_an_organisation_is_the_same_caller():
    """Guards against a crashing request that is forgotten when its key is replaced."""
    without_key = REQUEST["headers"].partition(b"Authorization")[0]
    one = digests(headers=without_key, organisation="a")
    assert one == digests(headers=without_key, organisation="a")
    assert one != digests(headers=without_key, organisation="b")
    assert one != digests(headers=without_key)
