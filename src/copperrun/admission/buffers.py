"""Bound on the bytes that an entry holds for all callers together.

Heads, uploads and answers have a bound each, and one on their sum. The network's part
is the listener's; nothing here reads or writes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

# Of a machine's memory, for each of heads, uploads and answers.
MEMORY_FRACTION = 1 / 8
TOTAL_FRACTION = 1 / 4  # of a machine's memory for all of them
ANSWER_FRACTION = 1 / 64  # of all answers, for one answer
MIN_ANSWER_BYTES = 64 << 10
NEAR_FRACTION = 7 / 8  # of a bound; from here on stalled callers give way
STALLED_MS = 1_000  # without reading; a caller that reads gives way only at the bound
# Without reading at the bound of an answer; a server cuts off after some seconds.
UNREAD_MS = 2_000
# Tasks and connections of a request whose caller reads or sends slowly.
READER_BYTES = 40 << 10
# What the connection to its server holds once the caller's answer is at its bound.
UNREAD_SERVER_BYTES = 64 << 10
UPLOAD_COPIES = 2  # the body, kept for a retry, and the copy being sent
HEAD_COPIES = 4  # as received, as decoded, as kept to be forwarded and as sent
LINE_BYTES = 512  # of a line that the HTTP library has parsed
SMALL_HEAD_BYTES = 4 << 10  # near the bound there is room for such heads only
UNBOUNDED = 1 << 62

Reader = TypeVar("Reader")
Upload = TypeVar("Upload")


class BufferBounds(NamedTuple):
    """Bounds in bytes.

    Attributes:
        answers: For all answers.
        answer: For one answer; the entry reads its server no further beyond it.
        uploads: For all uploads.
        heads: For all heads.
        total: For the sum of all.
    """

    answers: int
    answer: int
    uploads: int
    heads: int = UNBOUNDED
    total: int = UNBOUNDED

    @classmethod
    def from_memory(cls, memory_bytes: int) -> BufferBounds:
        """Return the bounds for a machine."""
        whole = int(memory_bytes * MEMORY_FRACTION)
        one = max(int(whole * ANSWER_FRACTION), MIN_ANSWER_BYTES)
        return cls(whole, one, whole, whole, int(memory_bytes * TOTAL_FRACTION))


def head_cost(size: int, lines: int) -> int:
    """Return what a head costs while its request is handled, in bytes.

    Args:
        size: Bytes received.
        lines: Lines that stay as the HTTP library has parsed them.
    """
    return size * HEAD_COPIES + lines * LINE_BYTES


class Measure(NamedTuple):
    """What is held for a caller now.

    Attributes:
        held: Bytes written for it that it has not taken.
        written: Bytes written for it so far.
        is_full: Whether the entry waits with further bytes until it takes some.
    """

    held: int
    written: int
    is_full: bool = False


@dataclass
class _Unread:
    cost: int
    held: int
    taken: int
    read_ms: int
    is_full: bool


@dataclass
class _Arriving:
    began_ms: int
    size: int = 0


class BufferBudget(Generic[Reader, Upload]):
    """Grants and refuses memory, and names the callers who give way.

    Attributes:
        bounds: Bounds that apply.
        upload_bytes: Bytes granted to uploads, with what those that arrive cost.
        collected_bytes: Bytes of answers that are not sent before they are complete.
        head_bytes: Bytes of heads that arrive and of those whose requests are handled.
    """

    def __init__(self, bounds: BufferBounds) -> None:
        self.bounds = bounds
        self.upload_bytes = 0
        self.collected_bytes = 0
        self.head_bytes = 0
        self._answer_bytes = 0
        # Ordered by the time of the last reading.
        self._unread: dict[Reader, _Unread] = {}
        self._arriving: dict[Upload, _Arriving] = {}  # in the order of their begin

    @property
    def answer_bytes(self) -> int:
        """Bytes held in answers, with what their requests cost."""
        return self._answer_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes held in answers and uploads."""
        return self._answer_bytes + self.upload_bytes

    @property
    def total_bytes(self) -> int:
        """Bytes held for all callers."""
        return self.held_bytes + self.collected_bytes + self.head_bytes

    @property
    def readers(self) -> list[Reader]:
        """Callers with unread bytes; first who has read nothing for longest."""
        return list(self._unread)

    @property
    def is_near_bound(self) -> bool:
        """Whether stalled callers have to give way."""
        return (
            self._answer_bytes > self.bounds.answers * NEAR_FRACTION
            or self.total_bytes > self.bounds.total
        )

    def record(self, reader: Reader, measure: Measure, now_ms: int) -> None:
        """Record what is held for a caller."""
        if not measure.held:
            self.forget(reader)
            return
        is_full = measure.is_full or measure.held > self.bounds.answer
        cost = measure.held + READER_BYTES + is_full * UNREAD_SERVER_BYTES
        taken = measure.written - measure.held
        unread = self._unread.get(reader)
        if unread is None:
            self._unread[reader] = _Unread(cost, measure.held, taken, now_ms, is_full)
            self._answer_bytes += cost
            return
        self._answer_bytes += cost - unread.cost
        if taken > unread.taken:
            unread.read_ms = now_ms
            self._unread[reader] = self._unread.pop(reader)  # moves it to the end
        unread.cost, unread.held, unread.taken = cost, measure.held, taken
        unread.is_full = is_full

    def forget(self, reader: Reader) -> None:
        """Record that nothing is held for a caller."""
        unread = self._unread.pop(reader, None)
        if unread is not None:
            self._answer_bytes -= unread.cost

    def make_room(
        self, measure: Callable[[Reader], Measure], now_ms: int
    ) -> list[Reader]:
        """Return, and forget, the callers who give way.

        Below the bound these are stalled callers only, beyond it also those who read.
        """
        losers: list[Reader] = []
        if not self.is_near_bound:
            return losers
        for reader in self.readers:
            if not self.is_near_bound:
                break
            self.record(reader, measure(reader), now_ms)
            unread = self._unread.get(reader)
            if unread is None or unread.read_ms == now_ms:
                continue
            if now_ms - unread.read_ms < STALLED_MS:
                break  # those after it have read later
            self.forget(reader)
            losers.append(reader)
        if self._answer_bytes <= self.bounds.answers:
            return losers
        for reader in self.readers:
            if not self.is_near_bound:
                break
            self.forget(reader)
            losers.append(reader)
        return losers

    def unread_too_long(self, limit_ms: int, now_ms: int) -> list[Reader]:
        """Return, and forget, the callers who read nothing for too long.

        Args:
            limit_ms: Longest time; a shorter one applies to an answer at its bound,
                whose server would cut it off.
            now_ms: Time.
        """
        losers = [
            reader
            for reader, unread in self._unread.items()
            if now_ms - unread.read_ms
            >= (min(UNREAD_MS, limit_ms) if unread.is_full else limit_ms)
        ]
        for reader in losers:
            self.forget(reader)
        return losers

    def hold_head(self, size: int, *, is_small: bool) -> bool:
        """Record ``size`` further bytes of a head; return whether they fit.

        Args:
            size: Negative when less is held than before; that always fits.
            is_small: Whether the whole head is a small one.
        """
        self.head_bytes += size
        if size <= 0:
            return True
        share = 1.0 if is_small else NEAR_FRACTION
        return (
            self.head_bytes <= self.bounds.heads * share
            and self.total_bytes <= self.bounds.total * share
        )

    def take_collected(self, size: int) -> bool:
        """Grant ``size`` bytes of an answer that is collected, or return False."""
        if (
            self.collected_bytes + size > self.bounds.answers
            or self.total_bytes + size > self.bounds.total
        ):
            return False
        self.collected_bytes += size
        return True

    def return_collected(self, size: int) -> None:
        """Return ``size`` granted bytes."""
        self.collected_bytes -= size

    def begin_upload(self, upload: Upload, now_ms: int) -> None:
        """Record that an upload has begun to arrive."""
        self._arriving[upload] = _Arriving(now_ms)
        self.upload_bytes += READER_BYTES

    def end_upload(self, upload: Upload) -> None:
        """Record that an upload is whole or given up; its bytes stay granted."""
        if self._arriving.pop(upload, None) is not None:
            self.upload_bytes -= READER_BYTES

    def fits_upload(self, size: int) -> bool:
        """Return whether an upload of ``size`` bytes may be taken."""
        cost = size * UPLOAD_COPIES
        return (
            self.upload_bytes + cost <= self.bounds.uploads
            and self.total_bytes + cost <= self.bounds.total
        )

    def take_upload(self, upload: Upload, size: int) -> bool:
        """Grant ``size`` further bytes of an upload, or return False."""
        if not self.fits_upload(size):
            return False
        self.upload_bytes += size * UPLOAD_COPIES
        if upload in self._arriving:
            self._arriving[upload].size += size
        return True

    def release_upload(self, size: int) -> None:
        """Return ``size`` granted bytes."""
        self.upload_bytes -= size * UPLOAD_COPIES

    def make_upload_room(self, size: int, now_ms: int) -> list[Upload]:
        """Return the uploads that give way so that another one fits.

        These are the slowest of those that have arrived for some time.
        """
        slow: list[tuple[float, int, Upload]] = []
        for upload, arriving in self._arriving.items():
            age_ms = now_ms - arriving.began_ms
            if age_ms < STALLED_MS:
                break
            cost = arriving.size * UPLOAD_COPIES + READER_BYTES
            slow.append((arriving.size / age_ms, cost, upload))
        slow.sort(key=lambda item: item[0])
        excess = self.upload_bytes + size * UPLOAD_COPIES
        excess -= int(self.bounds.uploads * NEAR_FRACTION)
        losers: list[Upload] = []
        for _, cost, upload in slow:
            if excess <= 0:
                break
            losers.append(upload)
            excess -= cost
        return losers
