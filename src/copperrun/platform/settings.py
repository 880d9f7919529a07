"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any
from typing import NamedTuple

import yaml

from copperrun.admission.uses import QuotaBounds
from copperrun.membership.location import ProcessLocation
from copperrun.placement.loads import LoadRateLimit
from copperrun.routing.retries import RetryBounds

SETTINGS_PATH_VARIABLE = "COPPERRUN_BOOT"
MB_BYTES = 10**6
_RULES = "contracts"  # names of the platform's rules in force
_FULL_ENGINES_CRASH = "pressure"
LOAD_LIMIT_SLACK = 3  # loads allowed per window in addition to the rate


class SettingsError(NamedTuple):
    """Settings that cannot be used.

    Attributes:
        detail: One line that names the field.
    """

    detail: str


class PlatformSettings(NamedTuple):
    """Settings of one process.

    Attributes:
        place: Where it runs.
        host: IP address of the machine.
        front_port: Listener for callers; 0 when it has none.
        ready_port: Listener for the balancer's readiness probes; 0 when none.
        control_port: Listener that the seeds' addresses name; 0 when none.
        internal_port: First port for traffic between copperrun's own processes.
        seeds: Control addresses of a few machines; some may be stale.
        store_address: ``host:port`` of the platform's store.
        engine_address: ``host:port`` of the engine beside a side, or empty.
        pool: Pool of that engine, or empty.
        grace_ms: Time between SIGTERM and SIGKILL.
        drain_ms: Time from a server's leave notice to the last request sent to it.
        apply_ms: Time from the confirmation of a configuration until it is in force.
        retries: Bound on repeated attempts.
        loads: Bound on loads from the weight store.
        is_first_start: Whether the whole system starts for the first time, so that no
            peer knows more than the store.
        key_max_age_ms: Time since the store confirmed the configuration after which
            keys are no longer accepted; 0 when the last confirmed ones go on.
        engines_crash_when_full: Whether an engine crashes once its requests need more
            than its memory.
        quota: How closely limits of client accounts hold.
        memory_bytes: Memory of the machine; 0 when not stated.
        descriptors: Descriptors that the process may have open; 0 when not stated.
    """

    place: ProcessLocation
    host: str
    front_port: int
    ready_port: int
    control_port: int
    internal_port: int
    seeds: tuple[str, ...]
    store_address: str
    engine_address: str
    pool: str
    grace_ms: int
    drain_ms: int
    apply_ms: int
    retries: RetryBounds
    loads: LoadRateLimit
    is_first_start: bool
    key_max_age_ms: int = 0
    engines_crash_when_full: bool = False
    quota: QuotaBounds = QuotaBounds()
    memory_bytes: int = 0
    descriptors: int = 0


class SettingsFile:
    """Settings file of a running process; its content may change."""

    def __init__(self, path: Path, cfg: PlatformSettings) -> None:
        self.cfg = cfg
        self._path = path
        self._content = b""
        self._error: SettingsError | None = None

    def reload(self) -> PlatformSettings | SettingsError | None:
        """Return changed settings, a new error, or None when there is neither."""
        # Parsing takes some milliseconds, and the file is checked each second.
        with suppress(OSError):  # load_settings reports it
            content = self._path.read_bytes()
            if content == self._content:
                return None
            self._content = content
        cfg = load_settings(self._path)
        if isinstance(cfg, SettingsError):
            # The platform may replace the file at any time; the settings in force
            # stay, and each error is returned only once.
            previous, self._error = self._error, cfg
            return None if cfg == previous else cfg
        self._error = None
        if cfg == self.cfg:
            return None
        self.cfg = cfg
        return cfg


def settings_path() -> Path | SettingsError:
    """Return the path of the settings file from the environment."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        return SettingsError(
            f"set {SETTINGS_PATH_VARIABLE} to the path of the settings file"
        )
    return Path(path)


def load_settings(path: Path) -> PlatformSettings | SettingsError:
    """Read and check a settings file."""
    try:
        fields = yaml.load(path.read_text(), Loader=_LOADER)
    except (OSError, UnicodeDecodeError) as exc:
        return SettingsError(f"{path}: {exc}")
    except yaml.YAMLError as exc:
        return SettingsError(f"{path}: not YAML: {' '.join(str(exc).split())}")
    if not isinstance(fields, dict):
        return SettingsError(f"{path}: expected a mapping")
    try:
        return _decode(fields)
    except _FieldError as exc:
        return SettingsError(f"{path}: {exc}")


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _FieldError(Exception):
    """A field is missing or has the wrong type."""


def _decode(fields: Mapping[str, Any]) -> PlatformSettings:
    bounds = _get(fields, "bounds", dict)
    listen = _get(fields, "listen", dict)
    ports = _get(fields, "internal-port-range", list)
    if not ports or not isinstance(ports[0], int):
        raise _FieldError("internal-port-range: expected two port numbers")
    place = ProcessLocation(
        _get(fields, "node-name", str),
        _get(fields, "zone", str),
        _get(fields, "region", str),
        _get(fields, "zones", dict),
    )
    return PlatformSettings(
        place,
        _get(fields, "ip", str),
        _port(listen, "front"),
        _port(listen, "ready"),
        _port(listen, "control"),
        ports[0],
        tuple(
            str(seed)
            for seed in _get({"seeds": fields.get("seeds") or []}, "seeds", list)
        ),
        _get(_get(fields, "platform", dict), "address", str),
        str(fields.get("app") or ""),
        str(fields.get("service") or ""),
        int(_get(bounds, "grace-s", float) * 1000),
        int(_get(bounds, "drain-ms", float)),
        int(_get(bounds, "config-apply-ms", float)),
        RetryBounds(
            _get(bounds, "budget-ratio", float),
            _get(bounds, "budget-slack", float),
            int(_get(bounds, "budget-window-s", float) * 1000),
        ),
        LoadRateLimit(
            int(_get(bounds, "ceiling-window-s", float) * 1000),
            _get(bounds, "ceiling-overage", float),
            LOAD_LIMIT_SLACK,
        ),
        fields.get("bootstrap") is True,
        _key_max_age_ms(bounds),
        _FULL_ENGINES_CRASH in _get({_RULES: fields.get(_RULES) or []}, _RULES, list),
        _quota(bounds),
        int(_machine_limit(fields, "memory-mb") * MB_BYTES),
        int(_machine_limit(fields, "file-descriptors")),
    )


def _key_max_age_ms(bounds: Mapping[str, Any]) -> int:
    if bounds.get("strict-revocation") is not True:
        return 0
    return int(_get(bounds, "revoke-ms", float))


def _quota(bounds: Mapping[str, Any]) -> QuotaBounds:
    quota = QuotaBounds()
    if "quota-overage" in bounds:
        quota = quota._replace(overage=_get(bounds, "quota-overage", float))
    if "quota-window-s" in bounds:
        window_s = _get(bounds, "quota-window-s", float)
        quota = quota._replace(window_ms=int(window_s * 1_000))
    return quota


def _get(fields: Mapping[str, Any], name: str, kind: type) -> Any:
    value = fields.get(name)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, kind):
        raise _FieldError(f"{name}: expected {kind.__name__}, got {value!r}")
    return value


def _machine_limit(fields: Mapping[str, Any], name: str) -> float:
    """Return a limit of the machine; 0 when it is not stated."""
    limits = fields.get("limits")
    if not isinstance(limits, dict) or limits.get(name) is None:
        return 0.0
    return float(_get(limits, name, float))


def _port(listen: Mapping[str, Any], name: str) -> int:
    if name not in listen:
        return 0
    port = _get(listen, name, str).rpartition(":")[2]
    if not port.isdigit():
        raise _FieldError(f"listen.{name}: expected IP:PORT, got {listen[name]!r}")
    return int(port)
