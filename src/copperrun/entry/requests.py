"""Validation of callers' requests before they are dispatched."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import xxhash

from copperrun.configuration.schema import Configuration
from copperrun.decoding import DecodeError
from copperrun.decoding import parse_json
from copperrun.idempotency.keys import key_time_ms
from copperrun.model import Ran
from copperrun.model import Refusal
from copperrun.model import RefusalReason

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
AFFINITY_PREFIX_CHARS = 512  # length of the prompt prefix that decides cache affinity
MAX_DEADLINE_MS = 24 * 3_600_000
MAX_TOKENS = 1_000_000


class ModelRequest(NamedTuple):
    """A valid completion request.

    Attributes:
        deployment: Deployment name.
        adapter: Adapter name, or an empty string.
        stream: Whether to stream the answer.
        affinity: Hash of deployment, adapter and prompt prefix.
    """

    deployment: str
    adapter: str
    stream: bool
    affinity: int


def parse_model_request(path: str, body: bytes) -> ModelRequest | Refusal:
    """Parse and validate the body of a completion request."""
    value = parse_json(body)
    if isinstance(value, DecodeError):
        return _bad_request("the body is not valid JSON")
    if not isinstance(value, dict):
        return _bad_request("the body is not a JSON object")
    problem = _find_problem(path, value)
    if problem is not None:
        return _bad_request(problem)
    deployment, _, adapter = value["model"].partition(":")
    prefix = f"{value['model']}\0{_prompt_prefix(path, value)}".encode()
    return ModelRequest(
        deployment,
        adapter,
        value.get("stream", False),
        xxhash.xxh32_intdigest(prefix) or 1,
    )


def check_model(cfg: Configuration, deployment: str, adapter: str) -> Refusal | None:
    """Refuse a deployment or adapter that is not configured."""
    spec = cfg.deployments.get(deployment)
    if spec is None:
        return Refusal(
            RefusalReason.UNKNOWN_DEPLOYMENT,
            Ran.NO,
            f"no deployment {deployment!r}; GET /v1/models lists them",
        )
    if adapter and adapter not in spec.adapters:
        return Refusal(
            RefusalReason.UNKNOWN_ADAPTER,
            Ran.NO,
            f"deployment {deployment!r} has no adapter {adapter!r}; "
            "GET /v1/models lists them",
        )
    return None


def parse_deadline(header: str | None, default_ms: int) -> int | Refusal:
    """Return the remaining time of the deadline header, in milliseconds."""
    if header is None:
        return default_ms
    try:
        remaining_ms = int(header)
    except ValueError:
        return _bad_request(
            "X-Copperrun-Deadline-Ms must be a whole number of milliseconds"
        )
    if remaining_ms <= 0:
        return Refusal(
            RefusalReason.DEADLINE_EXPIRED,
            Ran.NO,
            "X-Copperrun-Deadline-Ms must be greater than 0",
        )
    return min(remaining_ms, MAX_DEADLINE_MS)


def check_idempotency_key(key: str) -> Refusal | None:
    """Refuse an unrepeatable call without a valid key."""
    if not key:
        return Refusal(
            RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
            Ran.NO,
            "this call needs an Idempotency-Key header with a UUID version 7",
        )
    time_ms = key_time_ms(key)
    return time_ms if isinstance(time_ms, Refusal) else None


def _find_problem(path: str, value: dict[str, Any]) -> str | None:
    if not isinstance(value.get("model"), str) or not value["model"]:
        return "'model' must be the name of a deployment"
    if not isinstance(value.get("stream", False), bool):
        return "'stream' must be true or false"
    max_tokens = value.get("max_tokens", 1)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        return f"'max_tokens' must be a whole number from 1 to {MAX_TOKENS}"
    if value.get("n", 1) != 1:
        return "'n' must be 1"
    if path == CHAT_PATH:
        return _find_message_problem(value.get("messages"))
    if not isinstance(value.get("prompt"), str):
        return "'prompt' must be a string"
    return None


def _find_message_problem(messages: object) -> str | None:
    if not isinstance(messages, list) or not messages:
        return "'messages' must be a list with at least one message"
    if all(
        isinstance(item, dict) and isinstance(item.get("role"), str)
        for item in messages
    ):
        return None
    return "each of 'messages' must be an object with a 'role'"


def _prompt_prefix(path: str, value: dict[str, Any]) -> str:
    if path != CHAT_PATH:
        return str(value["prompt"][:AFFINITY_PREFIX_CHARS])
    text = ""
    for item in value["messages"]:
        text += f"{item['role']}:{item.get('content')}\n"
        if len(text) >= AFFINITY_PREFIX_CHARS:
            break
    return text[:AFFINITY_PREFIX_CHARS]


def _bad_request(detail: str) -> Refusal:
    return Refusal(RefusalReason.BAD_REQUEST, Ran.NO, detail)
