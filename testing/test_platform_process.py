"""The platform's roles as processes: start errors and reloads of the settings."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from test_platform_records import settings
from test_platform_records import write_settings
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from copperrun.platform.settings import PlatformSettings
from copperrun.platform.settings import SettingsError
from copperrun.platform.settings import SettingsFile
from copperrun.platform.settings import load_settings


def run(path: Path | None, *arguments: str) -> subprocess.CompletedProcess[str]:
    env = {
        name: value for name, value in os.environ.items() if name != "COPPERRUN_BOOT"
    }
    if path is not None:
        env["COPPERRUN_BOOT"] = str(path)
    command = [sys.executable, "-m", "copperrun.platform", *arguments]
    return subprocess.run(command, env=env, capture_output=True, text=True, check=False)


def test_a_start_without_settings_names_what_is_missing(tmp_path: Path) -> None:
    bad = write_settings(tmp_path, settings(zone=None))
    for result, named in (
        (run(None, "entry"), "COPPERRUN_BOOT"),
        (run(bad, "entry"), "zone"),
        (run(bad), "usage"),
        (run(bad, "other"), "usage"),
        (run(bad, "side", "--learn-costs"), "usage"),
        (run(bad, "entry", "--learn-costs"), "zone"),
    ):
        assert_that(result.returncode, Equals(2))
        assert_that(result.stderr, Contains(named))
        assert_that(result.stderr.count("\n"), Equals(1))


def test_a_port_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    # Soak seed 11: two starts of one machine overlapped and bound the same port.
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        listen = {"ready": f"127.0.0.1:{port}"}
        result = run(write_settings(tmp_path, settings(listen=listen)), "entry")
    assert_that(result.returncode, Equals(1))
    assert_that(result.stderr, Contains("in use"))
    assert_that(result.stderr.count("\n"), Equals(1))


@contextmanager
def running(path: Path) -> Iterator[subprocess.Popen[str]]:
    env = {**os.environ, "COPPERRUN_BOOT": str(path)}
    command = [sys.executable, "-m", "copperrun.platform", "entry"]
    process = subprocess.Popen(command, env=env, stdout=subprocess.PIPE, text=True)
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


def next_line(process: subprocess.Popen[str], message: str) -> dict[str, Any]:
    """Return the next log line with a message."""
    assert process.stdout is not None
    for line in process.stdout:
        fields = json.loads(line)
        if fields["message"] == message:
            return fields
    raise AssertionError(f"the process ended without {message!r}")


def test_changed_settings_are_applied_with_and_without_a_signal(tmp_path: Path) -> None:
    # SIGHUP was logged, but the changed file took effect only at the next start.
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        store = f"127.0.0.1:{taken.getsockname()[1]}"
        fields = settings(listen={}, platform={"address": store})
        fields["internal-port-range"] = [0, 0]
        path = write_settings(tmp_path, fields)
        with running(path) as process:
            next_line(process, "store unavailable")
            write_settings(tmp_path, {**fields, "seeds": ["127.0.0.1:1"]})
            line = next_line(process, "settings reloaded")
            assert_that(line["changed"], Equals(["seeds"]))
            write_settings(tmp_path, {**fields, "seeds": 5})
            line = next_line(process, "settings reload failed")
            assert_that(line["detail"], Contains("seeds"))
            write_settings(
                tmp_path, {**fields, "seeds": ["127.0.0.1:2"], "zone": "other"}
            )
            process.send_signal(signal.SIGHUP)
            line = next_line(process, "settings reloaded")
            assert_that(line["at_restart"], Equals(["place"]))
            process.send_signal(signal.SIGHUP)
            line = next_line(process, "settings reloaded")
            assert_that((line["cause"], line["changed"]), Equals(("signal", [])))


def test_the_roles_start_without_the_libraries_that_the_platform_does_not_install():
    # The deploy file's requirements name no pydantic; a clean machine has none. The
    # others are there, but cost memory in each process.
    unused = ["pydantic", "tqdm", "opentelemetry", "prometheus_client"]
    code = (
        "import sys; import copperrun.platform.__main__ as program\n"
        "try:\n    program.main()\nexcept SystemExit:\n    pass\n"
        "assert 'copperrun.platform.daemon' in sys.modules\n"
        f"print([name for name in {[*unused, 'ssl', '_hashlib']} "
        "if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert_that(result.stdout.strip(), Equals("[]"))


def test_unchanged_settings_are_not_parsed_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = write_settings(tmp_path, settings())
    cfg = load_settings(path)
    assert isinstance(cfg, PlatformSettings)
    file = SettingsFile(path, cfg)
    file.reload()
    parsed: list[Path] = []

    def count(name: Path) -> PlatformSettings | SettingsError:
        parsed.append(name)
        return load_settings(name)

    monkeypatch.setattr("copperrun.platform.settings.load_settings", count)
    for _ in range(3):
        assert_that(file.reload(), Equals(None))
    assert_that(parsed, Equals([]))
    write_settings(tmp_path, settings(seeds=["127.0.0.1:1"]))
    changed = file.reload()
    assert isinstance(changed, PlatformSettings)
    assert_that(changed.seeds, Equals(("127.0.0.1:1",)))
