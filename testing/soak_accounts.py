"""Soak of client accounts: keys that come and go, and callers beyond their limit.

Run ``python testing/soak_accounts.py --seed=1 --seeds=50 --seconds=8``.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import aiohttp
from absl import app
from platform_engine import PlatformEngine
from soak import TIMERS
from soak import InstanceProcess
from soak import Soak
from soak import run_seeds
from soak import seed_runner

WINDOW_S = 2.0
OVERAGE = 0.1
# The busy account's callers send more than that.
BUSY_RATE_PER_S, BUSY_BURST = 15.0, 15.0
STEADY_KEY = "steady-account-key"
BUSY_KEY = "busy-account-key"
CHANGING_KEYS = ("changing-account-key-1", "changing-account-key-2")
UNKNOWN_KEY = "a-key-that-nobody-holds"
ACCOUNT_BY_KEY = {
    STEADY_KEY: "steady",
    BUSY_KEY: "busy",
    CHANGING_KEYS[0]: "changing",
    CHANGING_KEYS[1]: "changing",
}
# Requests that an engine begins late were sent in an earlier window.
MAX_DELAY_S = 0.5
SETTLE_TIMEOUT_MS = 12_000


class AccountSoak(Soak):
    """One run of one seed: keys change in series beside all other faults."""

    entries, engines = 3, 3
    _is_first_start = True

    def __init__(self, seed: int, folder: Path) -> None:
        super().__init__(seed, folder, fall_backs=False, bad_part=False)
        self._faults += [self._change_keys] * 2
        self._keys: dict[str, str] = {}
        self._next_key = ""  # of the next request, in place of one drawn
        self._valid_keys = {STEADY_KEY, BUSY_KEY, CHANGING_KEYS[0]}
        self._busy_runs_ms: list[int] = []
        self._add_accounts()

    async def run(self, seconds: float) -> list[str]:
        """Run the soak and return the violated promises."""
        violations = await super().run(seconds)
        self.outcomes["busy runs"] = len(self._busy_runs_ms)
        most = (BUSY_RATE_PER_S * WINDOW_S + BUSY_BURST) * (1 + OVERAGE)
        most += BUSY_RATE_PER_S * MAX_DELAY_S
        worst = _most_in_window(self._busy_runs_ms, int(WINDOW_S * 1000))
        if worst > most:
            violations.append(f"{worst} runs of the busy account in {WINDOW_S} s")
        return violations

    def _bounds(self) -> dict[str, float]:
        return {"quota-window-s": WINDOW_S, "quota-overage": OVERAGE, "quota-slack": 1}

    def _prepare_backend(self, backend: PlatformEngine) -> None:
        backend.on_run = self._check_run

    def _identify(self, request_id: str) -> dict[str, str]:
        # Requests that check whether an entry serves come first and have no limit.
        key = STEADY_KEY
        if self._request_count % 2:
            key = self._random.choice([BUSY_KEY, BUSY_KEY, *self._valid_keys])
        if self._request_count % 11 == 0:
            key = UNKNOWN_KEY
        if self._next_key:
            key, self._next_key = self._next_key, ""
        self._keys[request_id] = key
        headers = {"Authorization": f"Token {key}", "Tenant": "steady"}
        return {**headers, "X-Own": key} if self._request_count % 7 == 0 else headers

    def _check_run(self, request_id: str, headers: Mapping[str, str]) -> None:
        key = self._keys.get(request_id, "")
        account = ACCOUNT_BY_KEY.get(key, "")
        if account == "busy":
            self._busy_runs_ms.append(TIMERS.now_ms())
        if headers.get("Tenant", "") != account or not account:
            told = headers.get("Tenant", "")
            self.violations.append(f"{request_id} of {account!r} ran for {told!r}")
        if key and any(key in value for value in headers.values()):
            self.violations.append(f"{request_id}: a server was sent the key")

    def _add_accounts(self) -> None:
        changing = sorted(self._valid_keys - {STEADY_KEY, BUSY_KEY})
        limit = {"rate-per-s": BUSY_RATE_PER_S, "burst": BUSY_BURST, "priority": 1}
        self._configuration["tenants"] = [
            {"name": "steady", "api-keys": [STEADY_KEY]},
            {"name": "busy", "api-keys": [BUSY_KEY], **limit},
            {"name": "changing", "api-keys": changing},
        ]

    def _write_configuration(self) -> None:
        self._add_accounts()
        super()._write_configuration()

    async def _change_keys(self) -> None:
        """Add, withdraw or replace keys of an account."""
        kept = {key for key in CHANGING_KEYS if self._random.random() < 0.5}
        self._valid_keys = {STEADY_KEY, BUSY_KEY} | kept
        await self._change_configuration()

    async def _check_recovery(self) -> None:
        """Check that all entries have come to know the keys that are in force."""
        await super()._check_recovery()
        self._valid_keys = {STEADY_KEY, BUSY_KEY}
        await self._change_configuration()
        for instance in self._entries():
            if not await self._is_withdrawn_at(instance):
                self.violations.append(f"{instance.host} still serves a withdrawn key")

    async def _is_withdrawn_at(self, instance: InstanceProcess) -> bool:
        end_ms = TIMERS.now_ms() + SETTLE_TIMEOUT_MS
        async with aiohttp.ClientSession() as session:
            while TIMERS.now_ms() < end_ms:
                self._next_key = CHANGING_KEYS[0]
                if await self._send(session, instance, "safe", "") == "401":
                    return True
                await TIMERS.sleep_ms(100)
        return False


def _most_in_window(times_ms: list[int], window_ms: int) -> int:
    """Return the most of the times that lie in any window."""
    times_ms = sorted(times_ms)
    most = first = 0
    for last, at_ms in enumerate(times_ms):
        while times_ms[first] <= at_ms - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


run_seed = seed_runner(AccountSoak)


def main(argv: list[str]) -> None:
    """Run the seeds of the command line."""
    run_seeds(run_seed)


if __name__ == "__main__":
    app.run(main)
