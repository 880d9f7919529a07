"""Timeline of one request from the logs of all processes."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path

import pytest
from cluster import BIN
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not

from copperrun.adapters.logs import _encode
from copperrun.ctl.timeline import EXPLANATIONS
from copperrun.ctl.timeline import build_timeline


def line(second: int, instance: str, message: str, **fields: object) -> str:
    at = f"2026-01-01T00:00:{second:02d}.000+00:00"
    entry = {"time": at, "level": "info", "instance": instance, "message": message}
    return json.dumps({**entry, **fields})


LOGS = [
    line(1, "side-9", "move started", model="m", victims=[]),
    line(11, "side-2", "not admitted", request="r1", model="m", waited_ms=900),
    line(4, "front-7", "store unavailable"),
    line(12, "front-1", "request ended", request="r1", model="m", elapsed_ms=5_000),
    line(8, "side-3", "move started", model="m", victims=["n"]),
    line(9, "side-4", "move started", model="x", victims=["y"]),
    line(10, "front-1", "store unavailable"),
    line(10, "front-2", "store unavailable"),
    line(12, "front-1", "request ended", request="r2", model="m", elapsed_ms=1),
    "a log collector's own line",
    "{broken",
    "[1]",
]


def test_lines_of_the_request_are_sorted_with_the_context_of_their_time():
    timeline = build_timeline("r1", LOGS)
    messages = [(item.instance, item.message) for item in timeline]
    assert_that(
        messages,
        Equals(
            [
                ("side-3", "move started"),
                ("front-1", "store unavailable"),
                ("side-2", "not admitted"),
                ("front-1", "request ended"),
            ]
        ),
    )


def test_context_starts_at_the_request_arrival():
    logs = [item for item in LOGS if "not admitted" not in item]
    messages = [item.message for item in build_timeline("r1", logs)]
    assert_that(
        messages, Equals(["move started", "store unavailable", "request ended"])
    )


@pytest.mark.parametrize(
    "message",
    [
        "engine found",
        "engine lost",
        "lifecycle",
        "move begun",
        "move dropped: no room",
        "side lost",
        "side regained",
        "store lost",
        "store regained",
    ],
)
def test_context_messages_of_an_earlier_build_are_recognized(message: str) -> None:
    logs = [line(11, "front-1", message), *LOGS]
    messages = [item.message for item in build_timeline("r1", logs)]
    assert_that(messages, Contains(message))


@pytest.mark.parametrize(
    "message",
    [
        "prompt parts in quarantine",
        "request in quarantine",
        "request no longer in quarantine",
        "requests tried one after the other",
    ],
)
def test_a_quarantine_that_begins_meanwhile_is_in_the_timeline(message: str) -> None:
    logs = [line(11, "front-1", message, parts=["a"]), *LOGS]
    messages = [item.message for item in build_timeline("r1", logs)]
    assert_that(messages, Contains(message))


@pytest.mark.parametrize("extra", [{}, {"host": "é" * 9_000, "path": "é" * 9_000}])
def test_a_request_is_found_by_a_long_id_that_was_logged_in_part(
    extra: dict[str, str],
) -> None:
    request = "r" * 8_000
    fields = {"time": "t", "level": "info", "instance": "i", "message": "no route"}
    logs = [_encode({**fields, "request": name, **extra}) for name in (request, "r")]
    assert_that(build_timeline(request, logs), HasLength(1))


def test_request_that_no_line_names_has_an_empty_timeline():
    assert_that(build_timeline("r9", LOGS), Equals([]))


def run(*arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [BIN / "copperrunctl", *arguments],
        input=text,
        capture_output=True,
        text=True,
        check=False,
    )


def test_the_tool_reads_files_and_standard_input(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    path.write_text("\n".join(LOGS))
    from_file = run("explain", "r1", str(path))
    from_input = run("explain", "r1", text="\n".join(LOGS))
    assert_that(from_file.returncode, Equals(0))
    assert_that(from_file.stdout, Equals(from_input.stdout))
    assert_that(from_file.stdout, Contains("elapsed_ms=5000"))


def test_missing_file_and_unknown_id_are_one_line_errors() -> None:
    missing = run("explain", "r1", "none.jsonl")
    unknown = run("explain", "r9", text="\n".join(LOGS))
    assert_that((missing.returncode, unknown.returncode), Equals((2, 1)))
    for result in (missing, unknown):
        assert_that(result.stderr.count("\n"), Equals(1))
        assert_that(result.stderr, Not(Contains("Traceback")))


def test_the_attempts_that_take_a_stream_up_belong_to_the_one_that_began_it():
    logs = [
        *LOGS,
        line(14, "front-2", "stream taken up", request="r8", resumes="r1"),
        line(15, "front-2", "request ended", request="r8", resumes="r1"),
    ]
    messages = [
        (item.message, item.instance)
        for item in build_timeline("r1", logs)
        if item.is_about
    ]
    assert_that(
        messages,
        Equals(
            [
                ("not admitted", "side-2"),
                ("request ended", "front-1"),
                ("stream taken up", "front-2"),
                ("request ended", "front-2"),
            ]
        ),
    )


def test_a_refusal_for_an_allotment_is_explained_with_its_keeper():
    logs = [
        line(2, "side-1", "allotments kept here", group=3, is_first=False),
        line(2, "side-2", "allotments kept here", group=4, is_first=True),
        line(5, "front-2", "keys changed", account="south", added=1, withdrawn=0),
        line(
            10, "front-1", "over the allotment", request="r1", account="north", group=3
        ),
        line(11, "side-1", "allotments handed over", group=3),
    ]
    messages = [(item.instance, item.message) for item in build_timeline("r1", logs)]
    assert_that(
        messages,
        Equals([("side-1", "allotments kept here"), ("front-1", "over the allotment")]),
    )


@pytest.mark.parametrize("message", sorted(EXPLANATIONS))
def test_the_tool_says_in_words_why_a_caller_was_refused(tmp_path: Path, message):
    path = tmp_path / "log"
    path.write_text(line(1, "front-1", message, request="r1", account="north"))
    result = subprocess.run(
        [BIN / "copperrunctl", "explain", "r1", path],
        capture_output=True,
        text=True,
        check=True,
    )
    assert_that(result.stdout, Contains(f"= refused: {EXPLANATIONS[message]}"))
