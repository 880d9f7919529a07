"""YAML documents checked against typed schemas; errors name the line."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

import yaml
from pydantic import TypeAdapter
from pydantic import ValidationError

from copperrun.decoding import MALFORMED

T = TypeVar("T")
Location = Sequence[str | int]


class DocumentProblem(NamedTuple):
    """One error in a document.

    Attributes:
        source: File name.
        line: Line of the error, from 1; 0 when it has none.
        path: Keys that lead to the error, joined by dots.
        detail: What is wrong and how to fix it.
    """

    source: str
    line: int
    path: str
    detail: str

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        return (
            f"{where}: {self.path}: {self.detail}"
            if self.path
            else (f"{where}: {self.detail}")
        )


class DocumentError(NamedTuple):
    """A document that was not accepted; returned, not raised.

    Attributes:
        problems: All errors found, at least one.
    """

    problems: tuple[DocumentProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


class Document(NamedTuple, Generic[T]):
    """A parsed document.

    Attributes:
        source: File name.
        raw: The YAML as plain values.
        value: The checked value.
        root: Node tree, for line numbers.
    """

    source: str
    raw: dict[str, Any]
    value: T
    root: yaml.Node | None

    def problem(self, location: Location, detail: str) -> DocumentProblem:
        """Describe an error found after the schema check."""
        return _problem(self.source, self.root, location, detail)


def load_document(path: Path, schema: TypeAdapter[T]) -> Document[T] | DocumentError:
    """Read and check a YAML file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, "strerror", None) or "not UTF-8 text"
        return _error(str(path), None, (), f"cannot read: {reason}")
    return parse_document(str(path), text, schema)


def parse_document(
    source: str, text: str, schema: TypeAdapter[T]
) -> Document[T] | DocumentError:
    """Check a YAML text."""
    try:
        root = yaml.compose(text, Loader=_StrictLoader)
        raw = yaml.load(text, Loader=_StrictLoader)
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        detail = f"not valid YAML: {exc.problem}"
        return DocumentError((DocumentProblem(source, line, "", detail),))
    except (yaml.YAMLError, *MALFORMED) as exc:
        return _error(source, None, (), f"not valid YAML: {exc}")
    if not isinstance(raw, dict):
        return _error(source, root, (), "expected a mapping at the top level")
    try:
        value = schema.validate_python(raw)
    except ValidationError as exc:
        return DocumentError(_schema_problems(source, root, exc))
    return Document(source, raw, value, root)


def describe_validation_error(exc: ValidationError) -> str:
    """Return the first schema error as one line."""
    first = exc.errors(include_url=False, include_context=False)[0]
    path = ".".join(str(part) for part in first["loc"])
    return f"{path}: {_message(first)}" if path else _message(first)


class _StrictLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Any, Any]:
        seen = set()
        for key_node, _ in node.value:
            key = getattr(key_node, "value", None)
            if isinstance(key, str) and key in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f"duplicate key {key!r}",
                    problem_mark=key_node.start_mark,
                )
            if isinstance(key, str):
                seen.add(key)
        return super().construct_mapping(node, deep=deep)


def _schema_problems(
    source: str, root: yaml.Node | None, exc: ValidationError
) -> tuple[DocumentProblem, ...]:
    return tuple(
        _problem(source, root, error["loc"], _message(error))
        for error in exc.errors(include_url=False, include_context=False)
    )


def _message(error: Any) -> str:
    match error["type"]:
        case "unexpected_keyword_argument" | "extra_forbidden":
            return "unknown key; remove it or correct its spelling"
        case "missing_argument" | "missing":
            return "required key is missing"
        case _:
            return str(error["msg"]).removeprefix("Value error, ")


def _error(
    source: str, root: yaml.Node | None, location: Location, detail: str
) -> DocumentError:
    return DocumentError((_problem(source, root, location, detail),))


def _problem(
    source: str, root: yaml.Node | None, location: Location, detail: str
) -> DocumentProblem:
    path = ".".join(str(part) for part in location)
    return DocumentProblem(source, _line(root, location), path, detail)


def _line(node: yaml.Node | None, location: Location) -> int:
    """Return the line of the deepest existing node on the path to ``location``."""
    line = node.start_mark.line + 1 if node is not None else 0
    for part in location:
        node, mark = _child(node, part)
        if mark is not None:
            line = mark.line + 1
        if node is None:
            break
    return line


def _child(
    node: yaml.Node | None, part: str | int
) -> tuple[yaml.Node | None, yaml.Mark | None]:
    if isinstance(node, yaml.MappingNode):
        for key_node, value_node in node.value:
            if key_node.value == str(part):
                return value_node, key_node.start_mark
    if (
        isinstance(node, yaml.SequenceNode)
        and isinstance(part, int)
        and part < len(node.value)
    ):
        return node.value[part], node.value[part].start_mark
    if isinstance(node, yaml.SequenceNode) and isinstance(part, str):
        for item in node.value:
            name, _ = _child(item, "name")
            if name is not None and name.value == part:
                return item, item.start_mark
    return None, None
