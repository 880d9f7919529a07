"""Chunked bodies whose chunks are joined before a parser reads them."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from copperrun.adapters.chunks import LAST_CHUNK
from copperrun.adapters.chunks import ChunkJoiner
from copperrun.adapters.chunks import JoinedChunks

MAX_LINE_BYTES = 64


def encode(parts: list[bytes], extension: bytes = b"", trailers: bytes = b"") -> bytes:
    chunks = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(chunks) + b"0\r\n" + trailers + b"\r\n"


def join(sent: bytes, size: int) -> tuple[bytes, bytes, JoinedChunks]:
    """Feed ``size`` bytes at a time; return the result, what was left, the last."""
    joiner, held, joined = ChunkJoiner(MAX_LINE_BYTES), b"", b""
    result = JoinedChunks(b"", 0)
    for at in range(0, len(sent), size):
        held += sent[at : at + size]
        result = joiner.join(held)
        joined += result.data
        held = held[result.used :]
        if result.is_last or result.is_malformed:
            return joined, held + sent[at + size :], result
    return joined, held, result


def decode(chunks: bytes) -> bytes:
    body = b""
    while chunks:
        line, _, rest = chunks.partition(b"\r\n")
        size = int(line, 16)
        body += rest[:size]
        assert_that(rest[size : size + 2], Equals(b"\r\n"))
        chunks = rest[size + 2 :]
    return body


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=30),
    st.integers(1, 50),
    st.sampled_from([b"", b";a=b", b' ; c="d"']),
    st.sampled_from([b"", b"x: y\r\n", b"x: y\r\nz:\r\n"]),
    st.binary(max_size=20),
)
def test_the_body_and_what_follows_it_stay_the_same(
    parts: list[bytes], size: int, extension: bytes, trailers: bytes, follows: bytes
) -> None:
    joined, left, result = join(encode(parts, extension, trailers) + follows, size)
    assert_that((result.is_last, result.is_malformed), Equals((True, False)))
    assert_that(left, Equals(follows))
    assert_that(joined.endswith(LAST_CHUNK), Equals(True))
    assert_that(decode(joined), Equals(b"".join(parts)))


def test_chunks_that_arrive_together_become_one() -> None:
    joined, _, _ = join(encode([b"ab"] * 1_000), 1_000_000)
    assert_that(joined, Equals(b"7d0\r\n" + b"ab" * 1_000 + b"\r\n" + LAST_CHUNK))


def test_a_part_of_a_large_chunk_is_passed_on_at_once() -> None:
    result = ChunkJoiner(MAX_LINE_BYTES).join(b"ffff\r\nabc")
    assert_that(result, Equals(JoinedChunks(b"3\r\nabc\r\n", 9)))


@pytest.mark.parametrize(
    "sent",
    [
        b"g\r\n",
        b"-1\r\n",
        b"0x1\r\na\r\n",
        b" 1\r\na\r\n",
        b"1\na\n",
        b"1\r\nab\r\n",
        b"1\r\naxx0\r\n\r\n",
        b"1\r\na\n0\r\n\r\n",
        b"\r\n",
        b"1 2\r\na\r\n",
        b"1" * 17,
        b"1;" + b"e" * 100,
        b"0\r\n" + b"x: y\r\n" * 20,
        b"0\r\n" + b"x: y\r\n" * 20 + b"\r\n",
    ],
)
@pytest.mark.parametrize("size", [1, 1_000])
def test_what_is_no_chunk_is_rejected(sent: bytes, size: int) -> None:
    _, left, result = join(sent, size)
    assert_that((result.is_last, result.is_malformed), Equals((False, True)))
    assert_that(len(left), LessThan(len(sent) + 1))
