"""Errors in YAML documents name the file, line, key and remedy."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st
from installation import small_configuration
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from copperrun.configuration.document import Document
from copperrun.configuration.document import DocumentError
from copperrun.configuration.document import parse_document
from copperrun.configuration.schema import CONFIGURATION
from copperrun.configuration.units import parse_duration
from copperrun.configuration.units import parse_size
from copperrun.ctl.publishing import load_configuration
from copperrun.settings import load_daemon_settings

EXAMPLES = Path(__file__).parent.parent / "examples"


def parse_errors(text: str) -> str:
    parsed = parse_document("f.yaml", text, CONFIGURATION)
    assert isinstance(parsed, DocumentError)
    return str(parsed)


@pytest.mark.parametrize("name", ["turneja", "terrain"])
def test_examples_are_valid(name: str) -> None:
    parsed = load_configuration(EXAMPLES / name / "configuration.yaml")
    assert_that(parsed, IsInstance(Document))
    settings = load_daemon_settings(EXAMPLES / name / "embedded.yaml")
    assert_that(isinstance(settings, DocumentError), Equals(False))


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("pools: [", "f.yaml:1: not valid YAML"),
        ("- 1", "f.yaml:1: expected a mapping"),
        ("a: 1\na: 2", "f.yaml:2: not valid YAML: duplicate key 'a'"),
        ("pools:\n  p:\n    slots: many", "f.yaml:3: pools.p.slots: Input should be"),
        ("pools:\n  p:\n    memory: 5", "f.yaml:3: pools.p.memory: expected a size"),
        ("pools:\n  p: {}\nplans: 1", "f.yaml:3: plans: unknown key"),
        ("pools: {}", "classes: required key is missing"),
        ("pools:\n  P:\n    slots: 1", "names have 1 to 63 of"),
    ],
)
def test_error_names_its_line(text: str, wanted: str) -> None:
    assert_that(parse_errors(text), Contains(wanted))


def test_unresolved_reference_names_its_path(tmp_path: Path) -> None:
    raw = small_configuration()
    raw["deployments"]["allowances"]["adapters"] = ["velebit"]
    raw["preset_in_force"] = "holiday"
    raw["pools"]["assistant"]["adapter_reserve"] = "300 GiB"
    path = tmp_path / "f.yaml"
    path.write_text(yaml.safe_dump(raw))
    error = str(load_configuration(path))
    assert_that(error, Contains("deployments.allowances.adapters.0: no adapter"))
    assert_that(error, Contains("pools.assistant.memory: the reserves are larger"))
    assert_that(error, Contains("preset_in_force: no preset 'holiday'; presets:"))


def test_missing_file_is_named() -> None:
    error = str(load_configuration(Path("nowhere.yaml")))
    assert_that(error, Equals("nowhere.yaml: cannot read: No such file or directory"))


def test_quantities_require_units() -> None:
    assert_that(parse_duration("0.84 s"), Equals(840))
    assert_that(parse_size("1.5 GiB"), Equals(3 * 2**29))
    for wrong in ("840", 840, "840 MiB", "-1 s", "1 s 2 ms", None, "s"):
        with pytest.raises(ValueError, match="expected a duration"):
            parse_duration(wrong)


@given(st.text())
def test_any_text_is_a_document_or_an_error(text: str) -> None:
    parsed = parse_document("f.yaml", text, CONFIGURATION)
    assert_that(parsed, IsInstance(DocumentError))
