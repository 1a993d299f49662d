"""Tests of request digests: which requests have the same digest."""

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


def test_request_sent_again_to_another_host_has_the_same_digests():
    """A caller sends a request again: its id, its deadline, the service whose host
    receives it and the order of its header fields differ, but not its digests.
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
def test_different_request_or_caller_has_different_digests(changed):
    assert not set(digests(**changed)) & set(digests())


def test_query_changes_one_digest_of_two():
    first, second = (
        digests(target=b"/orders/1?page=1"),
        digests(target=b"/orders/1?p=2"),
    )
    assert len(first) == len(second) == 2
    assert set(first) & set(second) == set(digests())


def test_bytes_moved_between_path_and_body_change_the_digests():
    assert digests(target=b"/orders/", body=b"1order") != digests()


def test_text_is_a_prefix_of_the_digest():
    (digest,) = digests()
    assert digest.hex().startswith(digest_text(digest))
    assert len(digest_text(digest)) == 16


def test_digests_begin_with_the_tag_of_the_path():
    for digest in digests(target=b"/orders/1?page=1"):
        assert digest.startswith(path_tag(b"/orders/1?page=2"))


def test_digest_without_organisation_stays_the_same_across_releases():
    """Guards against hosts of two releases that compute different digests."""
    request = RequestContent(
        "GET", b"/orders/1", b"Host: a\r\nAuthorization: Bearer k\r\n", b"b"
    )
    assert digest_text(digest_request(request)[0]) == "df8919f1e64c969e"


def test_replaced_api_key_of_an_organisation_keeps_the_digests():
    """Guards against a suspect that loses its crashes when its API key is replaced."""
    without_key = REQUEST["headers"].partition(b"Authorization")[0]
    one = digests(headers=without_key, organisation="a")
    assert one == digests(headers=without_key, organisation="a")
    assert one != digests(headers=without_key, organisation="b")
    assert one != digests(headers=without_key)
