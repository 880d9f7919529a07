"""Stand-in for a plain service; counts its executions."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass

from copperrun.model import Answer
from copperrun.ports.service import ServiceCall
from copperrun.ports.service import ServiceError
from copperrun.ports.service import ServiceErrorReason
from copperrun.ports.timers import Timers


@dataclass
class ServiceFaults:
    """Faults that tests inject.

    Attributes:
        down: Calls fail before they are sent.
        lose_answers: Number of next calls to execute without returning the answer.
        delay_ms: Time that each call takes.
    """

    down: bool = False
    lose_answers: int = 0
    delay_ms: int = 0


class ServiceStandIn:
    """Executes every call, including duplicates, and counts the executions."""

    def __init__(self, timers: Timers) -> None:
        self.faults = ServiceFaults()
        self.executions: Counter[str] = Counter()
        self._timers = timers
        self._execution_count = 0

    async def call(self, call: ServiceCall) -> Answer | ServiceError:
        """Execute the call and return the whole answer."""
        if self.faults.down:
            return ServiceError(ServiceErrorReason.UNREACHABLE, "service is down")
        self._execution_count += 1
        number = self._execution_count
        if call.idempotency_key:
            self.executions[call.idempotency_key] += 1
        if self.faults.delay_ms:
            await self._timers.sleep_ms(self.faults.delay_ms)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return ServiceError(ServiceErrorReason.ANSWER_LOST, "answer lost")
        body = {"execution": number, "method": call.method, "path": call.path}
        return Answer(200, "application/json", json.dumps(body).encode())
