"""Runs every scenario file as one test."""

from __future__ import annotations

from pathlib import Path

import pytest
from scenarios import ScenarioError
from scenarios import run_scenario

FOLDER = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize(
    "path", sorted(FOLDER.glob("*.scn")), ids=lambda path: path.stem
)
def test_scenario(path: Path) -> None:
    run_scenario(path)


def test_failed_check_is_reported_with_its_file_and_line(tmp_path: Path) -> None:
    path = tmp_path / "wrong.scn"
    path.write_text("ledgers 1\nentries 1\npublish\nwait 2 s\npay a\na ran never\n")
    with pytest.raises(ScenarioError, match=r"wrong\.scn:6: a ran never: saw 1"):
        run_scenario(path)
