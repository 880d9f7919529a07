"""Reading what other processes wrote."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from copperrun.adapters import wire
from copperrun.adapters.client import HttpReply
from copperrun.configuration.changes import CorruptRecord
from copperrun.configuration.changes import decode_record
from copperrun.decoding import MAX_DETAIL_CHARACTERS
from copperrun.decoding import MAX_INTEGER
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import digits
from copperrun.decoding import finite_number
from copperrun.decoding import parse_json
from copperrun.decoding import printable_text
from copperrun.decoding import whole_number
from copperrun.idempotency import records
from copperrun.membership.claim_log import decode_claim
from copperrun.platform.records import decode_catalog
from copperrun.platform.records import decode_server

DEPTH = 100_000
NESTED = [
    "[" * DEPTH,
    "[" * DEPTH + "]" * DEPTH,
    '{"a":' * DEPTH,
    '{"a":' * DEPTH + "1" + "}" * DEPTH,
    '{"state":' + "[" * DEPTH + "]" * DEPTH + "}",
]


# A registry entry nested deep ended each process that read it.
@pytest.mark.parametrize("text", NESTED, ids=range(len(NESTED)))
def test_what_is_nested_deep_is_malformed_wherever_it_is_read(text):
    data = text.encode()
    assert_that(parse_json(data), IsInstance(DecodeError))
    assert_that(HttpReply(200, "application/json", data).json(), Equals(None))
    assert_that(decode_server("i-1", data), IsInstance(str))
    assert_that(decode_catalog(data), IsInstance(str))
    assert_that(decode_claim(data), Equals(None))
    assert_that(decode_record(text), IsInstance(CorruptRecord))
    assert_that(records.decode(text), IsInstance(records.RecordError))
    for from_json in (wire.stream_end_from_json, wire.refusal_from_json):
        with pytest.raises(ValueError, match="malformed"):
            from_json(text)


def test_an_error_is_short_and_quotes_no_document():
    error = parse_json(b'{"api-keys": ["secret"' + b" " * 100_000)
    assert isinstance(error, DecodeError)
    assert_that("secret" in error.detail, Equals(False))
    assert_that(len(error.detail), LessThan(MAX_DETAIL_CHARACTERS + 1))


@given(st.binary() | st.text())
def test_any_text_is_parsed_or_malformed(data: bytes | str):
    value = parse_json(data)
    if not isinstance(value, DecodeError):
        json.dumps(value)


@pytest.mark.parametrize(
    "value",
    [MAX_INTEGER + 1, -MAX_INTEGER - 1, 10**300, 1e300, float("inf"), float("nan")],
)
def test_a_number_beyond_64_bits_is_malformed(value: Any):
    error = decode(json.dumps(value), whole_number)
    assert_that(error, IsInstance(DecodeError))


@pytest.mark.parametrize("value", [True, "1", None, [], {}])
def test_a_value_of_another_type_is_no_number(value: Any):
    with pytest.raises(TypeError, match="expected a number"):
        whole_number(value)


@pytest.mark.parametrize("value", [-1, 11])
def test_a_number_out_of_range_is_malformed(value: int):
    with pytest.raises(ValueError, match="expected a number from 0 to 10"):
        whole_number(value, 0, 10)


@pytest.mark.parametrize("value", ["inf", "nan", "-1e999", ""])
def test_a_number_that_is_not_finite_is_malformed(value: str):
    with pytest.raises(ValueError, match=r"finite|could not convert"):
        finite_number(value)


@pytest.mark.parametrize("value", ["\ud800", "a\r\nb", "\x00", "x" * 10_000])
def test_a_text_that_no_header_may_hold_is_malformed(value: str):
    with pytest.raises(ValueError, match="printable"):
        printable_text(value)


@pytest.mark.parametrize("text", ["", "-1", "1.5", "²", "٣", "9" * 5_000, "1_0"])
def test_what_is_not_in_digits_is_no_count(text: str):
    assert_that(digits(text), Equals(None))


def test_digits_may_have_spaces_around():
    assert_that(digits(" 42 "), Equals(42))
