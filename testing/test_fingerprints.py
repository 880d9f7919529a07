"""Which requests count as repeats of one."""

from __future__ import annotations

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from copperrun.ports.backends import BackendCall
from copperrun.routing.fingerprints import fingerprint
from copperrun.routing.fingerprints import is_fingerprint

CALL = BackendCall(
    "id-1",
    "POST",
    "h.example",
    "/pay/x?y=1",
    [("Authorization", "key one"), ("Accept", "*/*")],
    b"body",
    3_000,
)


@pytest.mark.parametrize(
    "changes",
    [
        {"id": "id-2"},
        {"timeout_ms": 20},
        {"resume_after": "7"},
        {"host": "H.example"},
        {"headers": [("authorization", "key one"), ("X-Attempt", "2")]},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_what_differs_between_repeats_is_left_out(changes):
    assert_that(fingerprint(CALL._replace(**changes)), Equals(fingerprint(CALL)))


def test_requests_that_differ_in_what_a_server_sees_have_their_own():
    others = [
        CALL,
        CALL._replace(method="PUT"),
        CALL._replace(host="i.example"),
        CALL._replace(target="/pay/x?y=2"),
        CALL._replace(headers=[("Authorization", "key two")]),
        CALL._replace(headers=[]),
        CALL._replace(body=b"bodz"),
        CALL._replace(body=None),
    ]
    assert_that({fingerprint(call) for call in others}, HasLength(len(others)))


def test_fields_cannot_run_into_each_other():
    calls = [
        CALL._replace(target="/pay/x", headers=[], body=b"4:body"),
        CALL._replace(target="/pay/x4:", headers=[], body=b"body"),
        CALL._replace(headers=[("Authorization", "a"), ("Authorization", "b")]),
        CALL._replace(headers=[("Authorization", "a1:b")]),
    ]
    assert_that({fingerprint(call) for call in calls}, HasLength(len(calls)))


def test_a_body_does_not_pass_for_credentials():
    with_key = CALL._replace(headers=[("Authorization", "secret")], body=None)
    assert_that(
        fingerprint(with_key) != fingerprint(CALL._replace(headers=[], body=b"secret")),
        Equals(True),
    )


def test_no_prompt_part_is_taken_for_a_request():
    assert_that(is_fingerprint(fingerprint(CALL)), Equals(True))
    assert_that(is_fingerprint("0123456789abcdef"), Equals(False))
