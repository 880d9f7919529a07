"""A model runner on a side's machine; in trouble, its report has no end.

Usage: runner.py HOST PORT START_S LENGTH_S. The trouble begins START_S after the start
and lasts LENGTH_S; with a length of 0 there is none.
"""

# Cases use the real clock and none of the project's code; see testing/* for names.
# ruff: noqa: D103, TID251

from __future__ import annotations

import json
import socket
import sys
import threading
import time

CHUNK = b"40000\r\n" + b" " * 0x40000 + b"\r\n"
REPORT = {
    "born": 1_700_000_000_000,
    "stage": "both",
    "models": [{"name": "m1", "version": 1, "adapters": []}],
    "busy": False,
    "sequence": 0,
    "queued": 0,
    "running": 0,
    "kv-used": 0,
    "kv-total": 90_000,
    "handles": 0,
}


def serve(conn: socket.socket, begin_s: float, end_s: float) -> None:
    """Answer the requests of one channel, all of which are for the report."""
    with conn:
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                received = conn.recv(65_536)
                if not received:
                    return
                data += received
            _, _, data = data.partition(b"\r\n\r\n")
            if begin_s <= time.monotonic() < end_s:
                conn.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                )
                while time.monotonic() < end_s:
                    conn.sendall(CHUNK)
                return
            body = json.dumps(REPORT).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            conn.sendall(head.encode() + body)


def serve_or_leave(conn: socket.socket, begin_s: float, end_s: float) -> None:
    try:
        serve(conn, begin_s, end_s)
    except OSError:
        return  # the side has closed the channel


def main() -> None:
    host, port, start_s, length_s = sys.argv[1:]
    begin_s = time.monotonic() + float(start_s)
    end_s = begin_s + float(length_s)
    with socket.create_server((host, int(port)), backlog=64) as listener:
        while True:
            conn, _ = listener.accept()
            threading.Thread(
                target=serve_or_leave, args=(conn, begin_s, end_s), daemon=True
            ).start()


if __name__ == "__main__":
    main()
