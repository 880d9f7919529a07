"""The platform's programs as processes: bad starts end with one line."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path

from test_platform_records import settings
from test_platform_records import write
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals


def run(path: Path | None, *arguments: str) -> subprocess.CompletedProcess[str]:
    env = {
        name: value for name, value in os.environ.items() if name != "COPPERRUN_BOOT"
    }
    if path is not None:
        env["COPPERRUN_BOOT"] = str(path)
    command = [sys.executable, "-m", "copperrun.platform", *arguments]
    return subprocess.run(command, env=env, capture_output=True, text=True, check=False)


def test_a_start_without_settings_names_what_is_missing(tmp_path: Path) -> None:
    bad = write(tmp_path, settings(zone=None))
    for result, named in (
        (run(None, "entry"), "COPPERRUN_BOOT"),
        (run(bad, "entry"), "zone"),
        (run(bad), "usage"),
        (run(bad, "other"), "usage"),
    ):
        assert_that(result.returncode, Equals(2))
        assert_that(result.stderr, Contains(named))
        assert_that(result.stderr.count("\n"), Equals(1))


def test_a_port_in_use_is_told_in_one_line(tmp_path: Path) -> None:
    # Case: soak seed 11, where two starts of one machine overlapped.
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        listen = {"ready": f"127.0.0.1:{port}"}
        result = run(write(tmp_path, settings(listen=listen)), "entry")
    assert_that(result.returncode, Equals(1))
    assert_that(result.stderr, Contains("in use"))
    assert_that(result.stderr.count("\n"), Equals(1))
