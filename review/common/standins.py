"""Stand-ins for the platform's store, its runners and its clients.

They follow the users' pages. Addresses are loopback addresses, ports are free ones.
"""

# Cases use the real clock and none of the project's code; see testing/* for names.
# ruff: noqa: D102, D103, TID251

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT_S = 20.0
RETAINED_S = 60.0
BOUNDS = {
    "drain-ms": 2_500,
    "grace-s": 8,
    "config-apply-ms": 2_500,
    "budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 58,
    "ceiling-window-s": 5,
    "ceiling-overage": 1.1,
}


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """A small HTTP/1.1 server; ``answer`` writes the answers of one channel."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a killed process does, with all channels."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first.split(" ")
                if not await self.answer(method, target, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if writer.transport else None

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write one answer; return whether the channel stays open."""
        raise NotImplementedError


def _response(status: int, body: bytes, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store(HttpServer):
    """The platform's store: keyed topics of one partition."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        super().__init__(host)
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()

    def put(self, topic: str, key: str, value: Any) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    def drop(self, topic: str, key: str) -> None:
        self.put(topic, key, b"")

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path, _, text = target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
        topic = query.get("topic", "")
        match method, path:
            case "GET", "/log-read":
                writer.write(await self._read(topic, query))
            case "GET", "/log-newest":
                writer.write(self._newest(topic))
            case "POST", "/log-append":
                writer.write(self._append(topic, query, body))
            case _:
                writer.write(_response(404, b""))
        await writer.drain()
        return True

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start, wait_ms = int(query["from"]), int(query.get("wait-ms", 0))
        if start > len(self.topics.get(topic, [])):
            return _response(410, b'{"first":0}')
        deadline = time.monotonic() + wait_ms / 1000
        while len(self.topics.get(topic, [])) <= start:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        parts = [struct.pack(">QQ", len(records), 0)]
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            parts.append(struct.pack(">I", len(content)) + content)
        return _response(200, b"".join(parts))

    def _newest(self, topic: str) -> bytes:
        records = self.topics.get(topic, [])
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
            for key, (at, value) in sorted(newest.items())
            if value
        ]
        page = {"items": items, "has-more": False, "end": len(records)}
        return _response(
            200, json.dumps(page).encode(), "Content-Type: application/json"
        )

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        records = self.topics.setdefault(topic, [])
        if int(query.get("at", len(records))) != len(records):
            return _response(412, json.dumps({"end": len(records)}).encode())
        offset, position = len(records), 0
        while position + 4 <= len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key = content[1 : 1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0] :])
        answer = {"offset": offset, "end": len(self.topics[topic])}
        return _response(
            200, json.dumps(answer).encode(), "Content-Type: application/json"
        )


Hook = Callable[["Runner", str, asyncio.StreamWriter], Awaitable[bool | None]]


class Runner(HttpServer):
    """A runner of a plain service.

    Attributes:
        ran: Ids of the requests that it began to work on, in their order.
        proofs: Proof and body of each answer by request id.
        trouble: Called for each run request; returns None for a sound answer, or
            whether the channel stays open after what it has written.
    """

    def __init__(
        self, server_id: str, record: Record, host: str, work_s: float = 0.02
    ) -> None:
        super().__init__(host)
        self.id = server_id
        self.ran: list[str] = []
        self.proofs: dict[str, tuple[str, bytes]] = {}
        self.trouble: Hook | None = None
        self._record = record
        self._work_s = work_s

    def entry(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Return what it writes into the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "za",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 0,
            "born": 1_700_000_000_000,
        }

    async def answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if target == "/health":
            writer.write(_response(200, b"healthy\n", f"Instance-Id: {self.id}"))
            await writer.drain()
            return True
        request_id = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(
                _response(421, b"", f"Request-Id: {request_id}", "Not-Executed: 1")
            )
            return True
        self._record(f"run      {request_id} at {self.id}")
        self.ran.append(request_id)
        await asyncio.sleep(self._work_s)
        if self.trouble is not None:
            kept = await self.trouble(self, request_id, writer)
            if kept is not None:
                return kept
        writer.write(self.whole_answer(request_id))
        await writer.drain()
        return True

    def whole_answer(self, request_id: str) -> bytes:
        proof = f"{self.id}.{len(self.ran)}"
        body = f"answer to {request_id}\n".encode()
        self.proofs[request_id] = proof, body
        return _response(
            200, body, f"Request-Id: {request_id}", f"Response-Signature: {proof}"
        )


class Answer:
    """What a client read for one request.

    Attributes:
        status: 0 where the channel ended without an answer.
    """

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Client:
    """A client with one kept channel; it opens a new one after a failure."""

    def __init__(self, address: str, record: Record) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._record = record
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b"",
        extra: str = "",
    ) -> Answer:
        self._record(f"sent     {request_id} {method} {target}")
        try:
            answer = await asyncio.wait_for(
                self._exchange(method, target, request_id, body, extra), 5.0
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            self._record(f"no answer {request_id}: {exc!r}")
            self.close()
            return Answer(0, {}, b"")
        self._record(
            f"answered {request_id} {answer.status} id="
            f"{answer.headers.get('request-id', '-')} proof="
            f"{answer.headers.get('response-signature', '-')} body={answer.body!r}"
        )
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _exchange(
        self, method: str, target: str, request_id: str, body: bytes, extra: str
    ) -> Answer:
        if self._channel is None:
            self._channel = await asyncio.open_connection(self._host, self._port)
        reader, writer = self._channel
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: desk.example\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: 3000\r\n{extra}"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        first, headers = await read_head(reader)
        length = int(headers.get("content-length", 0))
        return Answer(int(first.split()[1]), headers, await reader.readexactly(length))

    def close(self) -> None:
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None


class Process:
    """A process of the project, run by a command of the deploy file."""

    def __init__(self, role: str, folder: Path, settings: dict[str, Any]) -> None:
        self.folder = folder / f"{role}-{settings['node-name']}"
        self.folder.mkdir()
        self._settings = self.folder / "settings.yaml"
        self._settings.write_text(json.dumps(settings))
        self._role = role
        self._log = (self.folder / "log.txt").open("ab")
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self.popen = subprocess.Popen(
            ["python3", "-m", "copperrun.platform", self._role],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "COPPERRUN_BOOT": str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
        )

    def write_settings(self, settings: dict[str, Any]) -> None:
        self._settings.write_text(json.dumps(settings))

    def send_signal(self, number: signal.Signals) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def log_text(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")


def node_settings(
    name: str, host: str, store: Store, listen: dict[str, str], internal: int
) -> dict[str, Any]:
    """Return settings like those that the platform writes."""
    return {
        "node-name": name,
        "zone": "za",
        "region": "ra",
        "zones": {"za": "ra"},
        "ip": host,
        "listen": listen,
        "internal-port-range": [internal, internal + 1],
        "seeds": [],
        "bootstrap": False,
        "limits": {"memory-mb": 300, "cores": 1},
        "platform": {"address": store.address, "form": "log"},
        "contracts": ["base", "drain", "config", "retry", "recover", "platform"],
        "bounds": BOUNDS,
    }


class Entry:
    """One entry process with its addresses."""

    def __init__(
        self, name: str, host: str, store: Store, folder: Path, internal: int
    ) -> None:
        front, ready = free_port(host), free_port(host)
        self.address = f"{host}:{front}"
        self._ready = host, ready
        listen = {"front": self.address, "ready": f"{host}:{ready}"}
        self.settings = node_settings(name, host, store, listen, internal)
        self.process = Process("entry", folder, self.settings)

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"entry not ready: {self.process.log_text()[-2000:]}")

    async def is_ready(self) -> bool:
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self._ready), 1.0
            )
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return " 200 " in first + " "
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()


def plain_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one plain service."""

    def route(name: str, kind: str, attempts: int) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": "desk.example",
            "path-prefix": f"/{name}/",
            "service": "desk",
            "kind": kind,
            "timeout-ms": 3_000,
            "target-latency-ms": 300,
            "priority": 2,
            "max-attempts": attempts,
            **changes,
        }

    return {
        "version": version,
        "routes": [route("book", "unsafe", 1), route("status", "safe", 2)],
        "services": [
            {"name": "desk", "max-connections": 110, "health-check-path": "/health"}
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_048_576,
            "header-timeout-ms": 5_000,
            "idle-timeout-ms": 30_000,
        },
    }


Case = Callable[[Record, Path, list[Process]], Awaitable[bool]]


def run_case(folder: Path, case: Case) -> int:
    """Run a case; return its exit code.

    The case returns whether the rule held, and appends its processes to the list that
    it is given; they are ended here.
    """
    record = Record(folder)
    processes: list[Process] = []
    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = asyncio.run(
                asyncio.wait_for(case(record, Path(scratch), processes), 110.0)
            )
        except (CannotRun, TimeoutError, OSError) as exc:
            record(f"could not run: {exc!r}")
            return 2
        finally:
            for process in processes:
                process.end()
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1
