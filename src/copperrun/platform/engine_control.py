"""Reads the status of the engine beside a side and sends it orders."""

from __future__ import annotations

from typing import Any

from loguru import logger

from copperrun.adapters.bodies import MAX_REPORT_BYTES
from copperrun.adapters.client import JSON_HEADERS
from copperrun.adapters.client import HttpClient
from copperrun.adapters.client import HttpFailure
from copperrun.adapters.client import HttpFailureReason
from copperrun.admission.memory import EngineRun
from copperrun.admission.memory import MemoryReport
from copperrun.decoding import MALFORMED
from copperrun.decoding import DecodeError
from copperrun.decoding import decode
from copperrun.decoding import describe
from copperrun.decoding import whole_number
from copperrun.placement.adapter_slots import AdapterKey
from copperrun.platform import http_headers
from copperrun.platform.records import decode_cached_models
from copperrun.platform.records import decode_held_models
from copperrun.ports.engine import OrderKind
from copperrun.ports.engine_control import EngineOrder
from copperrun.ports.engine_control import EngineStatus
from copperrun.ports.engine_control import OrderReply
from copperrun.ports.engine_control import OrderResult

STATUS_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 800  # the engine answers before it executes an order

_RESULTS_BY_STATUS = {
    200: OrderResult.IN_EFFECT,
    202: OrderResult.ACCEPTED,
    409: OrderResult.CONFLICT,
    421: OrderResult.WRONG_START,
}


class HttpEngineControl:
    """Controls the engine at one address."""

    def __init__(self, client: HttpClient, address: str, instance: str) -> None:
        self._client = client
        self._url = f"http://{address}"
        self._instance = instance

    async def status(self) -> EngineStatus | None:
        """Return the engine's status, or None when it cannot be read."""
        reply = await self._client.call(
            "GET",
            f"{self._url}/report",
            timeout_ms=STATUS_TIMEOUT_MS,
            max_bytes=MAX_REPORT_BYTES,
        )
        if isinstance(reply, HttpFailure) or reply.status != 200:
            return None
        status = decode(reply.body, _decode_status)
        if isinstance(status, DecodeError):
            logger.warning("engine report ignored: malformed", detail=status.detail)
            return None
        return status

    async def order(self, order: EngineOrder) -> OrderReply:
        """Send an order."""
        fields: dict[str, Any] = {
            "operation": "load" if order.kind is OrderKind.LOAD else "unload",
            "model": order.model,
            # Number of orders that the engine must have accepted before this one.
            "precondition": order.after_sequence,
            "holder": self._instance,
            "fencing-token": order.epoch,
        }
        if order.adapter:
            fields["adapter"] = order.adapter
        headers = dict(JSON_HEADERS)
        if order.server_id:
            headers[http_headers.EXPECTED_SERVER] = order.server_id
        reply = await self._client.call_json(
            "POST",
            f"{self._url}/order",
            fields,
            headers=headers,
            timeout_ms=ORDER_TIMEOUT_MS,
            is_separate=True,
            max_bytes=MAX_REPORT_BYTES,
        )
        if isinstance(reply, HttpFailure):
            if reply.reason is HttpFailureReason.NOT_SENT:
                return OrderReply(OrderResult.REFUSED)
            return OrderReply(OrderResult.UNANSWERED)
        result = _RESULTS_BY_STATUS.get(reply.status, OrderResult.REFUSED)
        return OrderReply(result, reply.headers.get(http_headers.SERVER_ID, ""))


def _decode_status(fields: Any) -> EngineStatus:
    in_host, on_disk = decode_cached_models(fields)
    return EngineStatus(
        whole_number(fields.get("born", 0), 0),
        {model.name: model.adapters for model in decode_held_models(fields["models"])},
        frozenset(_decode_adapter_key(item) for item in fields.get("coming", ())),
        bool(fields["busy"]),
        whole_number(fields["sequence"], 0),
        whole_number(fields["running"], 0),
        whole_number(fields["queued"], 0),
        in_host,
        on_disk,
        _decode_memory(fields),
    )


def _decode_memory(fields: Any) -> MemoryReport | None:
    """Decode the engine's count of its memory; without one its models still count."""
    if "kv-used" not in fields:
        return None
    try:
        return _decode_counts(fields)
    except MALFORMED as exc:
        logger.warning("engine memory ignored: malformed", detail=describe(exc))
        return None


def _decode_counts(fields: Any) -> MemoryReport:
    runs = fields.get("runs")
    return MemoryReport(
        whole_number(fields.get("kv-total") or 0, 0),
        whole_number(fields["kv-used"], 0),
        whole_number(fields.get("held") or 0, 0),
        # Each is its id, the tokens in memory, the events made and the priority.
        None
        if runs is None
        else tuple(
            EngineRun(str(run[0]), whole_number(run[1], 0), whole_number(run[2], 0))
            for run in runs
        ),
        whole_number(fields["running"], 0),
    )


def _decode_adapter_key(item: str) -> AdapterKey:
    """Decode MODEL/ADAPTER@VERSION."""
    model, _, rest = item.partition("/")
    return AdapterKey(model, rest.partition("@")[0])
