"""Plans which engine of a pool loads and evicts which model next; no I/O.

Demand moves between many models while each engine holds two to five of them. A resident
model stays unless a load gains clearly more than its victims are worth: a first copy
serves requests that no engine serves now, a further copy serves requests beyond the
capacity of the others, or lets more of them be in time, or takes load off them. A model
that no caller has asked for then evicts nothing. Each side computes the same moves from
the same inputs and carries out those of its own engine.

The value of a copy, and so the gain of a move, is in requests per second.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from copperrun.routing.catalog import EngineSpec
from copperrun.routing.catalog import ModelSpec

WAITING_REQUEST_RPS = 0.5  # added to a model's rate for each waiting request
QUEUED_REQUEST_RPS = 0.5  # added to a model's rate for each request queued at an engine
LAST_COPY_VALUE_RPS = 0.3  # value of a model's only copy while it has no demand
FIRST_COPY_FACTOR = 1.75  # weight of serving a request at all against serving it sooner
MODEL_CAPACITY_SHARE = 0.6  # fraction of an engine's capacity available to one model
BASE_RELIEF = 0.05  # value of taking load off engines that are idle
PRESSURE_RELIEF = 0.5  # added at full pressure, when engines always run prefill
MAX_MOVES = 8  # begun at once; the store loads about as many at full speed
MIN_GAIN_RPS = 0.15  # moves with a smaller gain are not worth their cost
PAYBACK_S = 10.0  # a move that takes this long gains nothing
TYPICAL_DRAIN_S = 3.0  # typical remaining time of requests that an unload waits for
IDLE_EVICTION_S = 0.3  # time to notify entries before an idle victim is unloaded
ACTIVE_VICTIM_COST_RPS = 0.3  # for a victim whose running requests must finish first
# Models that do not fit together take turns of this time: a load from the store and as
# long in use.
TURN_S = 10.0
BALANCE_COST_RPS = 0.02  # of a load onto an engine with the pool's mean demand


class EngineView(NamedTuple):
    """One engine as seen by the planner.

    Attributes:
        id: Identity, the same in every process.
        held: Models that it holds or is about to hold.
        in_host: Models whose weights are in its host memory.
        on_disk: Models whose weights are on its disk.
        active: Models with running requests.
        recently_loaded: Models loaded too recently to be evicted.
        is_busy: Whether a move is under way there.
    """

    id: str
    held: frozenset[str]
    in_host: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    active: frozenset[str] = frozenset()
    recently_loaded: frozenset[str] = frozenset()
    is_busy: bool = False


class ModelDemand(NamedTuple):
    """Demand for one model.

    Attributes:
        rate: Recent requests per second, served or not.
        steady_rate: Requests per second over a longer time.
        waiting: Requests that wait because no engine holds it.
        queued: Requests that wait at the engines that hold it.
        missing_s: Time for which it was requested while no engine held it.
    """

    rate: float = 0.0
    steady_rate: float = 0.0
    waiting: int = 0
    queued: int = 0
    missing_s: float = 0.0

    @property
    def rate_with_queued(self) -> float:
        """Recent requests per second, increased for requests queued at engines."""
        return self.rate + QUEUED_REQUEST_RPS * self.queued

    @property
    def is_requested(self) -> bool:
        """Whether callers have lately asked for the model."""
        return bool(self.rate or self.steady_rate or self.waiting)

    @property
    def first_copy_value(self) -> float:
        """Value of a first copy, in requests per second.

        It grows once the model has been missing for a turn, so that models that do not
        fit together take turns and the least requested ones do not starve.
        """
        rate = max(self.rate, self.steady_rate) + WAITING_REQUEST_RPS * self.waiting
        turns = max(self.missing_s / TURN_S, 1.0)
        return LAST_COPY_VALUE_RPS + FIRST_COPY_FACTOR * rate * turns


class Move(NamedTuple):
    """One load at one engine, with the evictions before it.

    Attributes:
        engine: The engine.
        model: Model to load.
        victims: Models to unload first.
        gain: Gain in requests per second.
    """

    engine: str
    model: str
    victims: tuple[str, ...]
    gain: float


def plan_moves(
    spec: EngineSpec,
    engines: Sequence[EngineView],
    demand: Mapping[str, ModelDemand],
    pressure: float,
    capacity_rps: float,
    pause_prompts: float | None = None,
    own: str = "",
) -> Iterator[Move]:
    """Yield the moves worth making now, the best first.

    Args:
        spec: Properties of the pool's engines.
        engines: All engines of the pool that stay.
        demand: Demand by model.
        pressure: Mean fraction of time that the engines spend on prefill.
        capacity_rps: Requests per second that one engine can serve.
        pause_prompts: Typical prompts that an engine can prefill within the pause that
            streams allow; None when they allow any, or when callers wait for a load.
        own: Engine whose moves alone the caller makes. The plan ends once no move of
            its own is worth making: later moves of others seldom change that, and the
            next plan sees them.
    """
    planner = _Planner(spec, engines, demand, pressure, capacity_rps, pause_prompts)
    if own and not planner.has_move(own):
        return
    planner.update_engines()
    for _ in range(MAX_MOVES):
        move = planner.best_move()
        if move is None:
            return
        yield move
        planner.apply(move)
        if own and not planner.has_move(own):
            return


@dataclass
class _EngineState:
    """One engine during a plan; computed anew when its models or their value change.

    Attributes:
        held: Models that it holds after the moves chosen so far.
        free_mb: Memory for models that is free.
        victims: Models that may be evicted with their size and value, in the order of
            eviction; models in use rank later, since an unload waits for running
            requests.
        balance_cost: Cost of loading a model here rather than onto an idle engine.
    """

    held: set[str]
    free_mb: float = 0.0
    victims: list[tuple[str, float, float]] = field(default_factory=list)
    balance_cost: float = 0.0


class _Planner:
    """Chooses moves one by one, with the residency after those chosen so far.

    A plan looks at models x engines. What it needs of an engine is computed once and
    again only where a chosen move changes it; models are tried in the order of their
    value, which bounds the gain, until no other can be better.
    """

    def __init__(
        self,
        spec: EngineSpec,
        engines: Sequence[EngineView],
        demand: Mapping[str, ModelDemand],
        pressure: float,
        capacity_rps: float,
        pause_prompts: float | None,
    ) -> None:
        self._spec = spec
        self._capacity_rps = capacity_rps
        self._pause_prompts = pause_prompts
        self._views = {engine.id: engine for engine in engines}
        self._states = {engine.id: _EngineState(set(engine.held)) for engine in engines}
        self._available = sorted(engine.id for engine in engines if not engine.is_busy)
        self._demand = demand
        self._relief = BASE_RELIEF + PRESSURE_RELIEF * pressure
        self._copy_capacity_rps = MODEL_CAPACITY_SHARE * capacity_rps
        self._copies = Counter(
            name for engine in engines for name in engine.held if name in spec.models
        )
        self._values: dict[str, float] = {}
        self._memory_mb = model_memory_mb(spec)
        total = sum(item.rate for item in demand.values())
        self._mean_rate = max(total / max(len(engines), 1), 0.001)

    def update_engines(self) -> None:
        """Compute what ``best_move`` needs of each engine."""
        for engine_id in self._available:
            self._update_engine(engine_id)

    def has_move(self, engine_id: str) -> bool:
        """Return whether any move of one engine is worth making."""
        if engine_id not in self._available:
            return False
        self._update_engine(engine_id)
        for value, name in self._models_by_value():
            move = self._evaluate_move(engine_id, self._spec.models[name], value, None)
            if move is not None and move.gain >= MIN_GAIN_RPS:
                return True
        return False

    def best_move(self) -> Move | None:
        """Return the move with the greatest gain, or None when none is worth it."""
        best: Move | None = None
        for value, name in self._models_by_value():
            if best is not None and value <= best.gain:
                break
            model = self._spec.models[name]
            for engine_id in self._available:
                move = self._evaluate_move(engine_id, model, value, best)
                if move is not None:
                    best = move
        return best if best is not None and best.gain >= MIN_GAIN_RPS else None

    def apply(self, move: Move) -> None:
        """Count a move as made; its engine is not available for another one."""
        held = self._states[move.engine].held
        held.difference_update(move.victims)
        held.add(move.model)
        self._copies.subtract(move.victims)
        self._copies[move.model] += 1
        self._available.remove(move.engine)
        changed = {move.model, *move.victims}
        for name in changed:
            self._values.pop(name, None)
        for engine_id in self._available:
            if not changed.isdisjoint(self._states[engine_id].held):
                self._update_engine(engine_id)

    def _models_by_value(self) -> list[tuple[float, str]]:
        """Return the models that are worth a further copy, the most valuable first."""
        for name in self._spec.models:
            if name not in self._values:
                self._values[name] = self._marginal_value(name, self._copies[name] + 1)
        worth_loading = [
            (value, name)
            for name, value in self._values.items()
            if value >= MIN_GAIN_RPS
        ]
        return sorted(worth_loading, key=lambda item: (-item[0], item[1]))

    def _update_engine(self, engine_id: str) -> None:
        state, view = self._states[engine_id], self._views[engine_id]
        state.free_mb = self._memory_mb - sum(map(self._size_mb, state.held))
        rate = sum(
            self._demand.get(name, _NO_DEMAND).rate / max(self._copies[name], 1)
            for name in state.held
        )
        state.balance_cost = BALANCE_COST_RPS * rate / self._mean_rate
        costs = {
            name: self._marginal_value(name, self._copies[name])
            for name in state.held - view.recently_loaded
        }
        order = sorted(
            (cost + ACTIVE_VICTIM_COST_RPS * (name in view.active), name)
            for name, cost in costs.items()
        )
        state.victims = [(name, self._size_mb(name), costs[name]) for _, name in order]

    def _evaluate_move(
        self, engine_id: str, model: ModelSpec, value: float, best: Move | None
    ) -> Move | None:
        """Return the move of a model to an engine if it gains more than the best."""
        state = self._states[engine_id]
        if model.name in state.held:
            return None
        bound = value - state.balance_cost
        if best is not None and bound <= best.gain:
            return None
        needed_mb = model.size_mb - state.free_mb
        victims: list[tuple[str, float, float]] = []
        if needed_mb > 0:
            demand = self._demand.get(model.name, _NO_DEMAND)
            if self._pause_prompts is not None and not demand.is_requested:
                return None
            if (
                value - min((cost for _, _, cost in state.victims), default=0.0)
                < MIN_GAIN_RPS
            ):
                return None
            for victim in state.victims:
                if needed_mb <= 0:
                    break
                victims.append(victim)
                needed_mb -= victim[1]
            if needed_mb > 0:
                return None
            # A victim stays when the later ones free enough memory without it.
            for victim in list(victims):
                if needed_mb + victim[1] <= 0:
                    victims.remove(victim)
                    needed_mb += victim[1]
        view = self._views[engine_id]
        names = tuple(name for name, _, _ in victims)
        delay_s = load_ms(view, model) / 1000
        if names:
            delay_s += (
                TYPICAL_DRAIN_S if view.active.intersection(names) else IDLE_EVICTION_S
            )
        # Requests that are not served during the move reduce its gain.
        gain = value * max(1 - delay_s / PAYBACK_S, 0.0)
        gain -= sum(cost for _, _, cost in victims)
        gain -= state.balance_cost
        if best is not None and gain <= best.gain:
            return None
        return Move(engine_id, model.name, names, gain)

    def _marginal_value(self, name: str, copies: int) -> float:
        """Return the value of the last of ``copies`` copies of a model."""
        demand = self._demand.get(name, _NO_DEMAND)
        if copies <= 1:
            return demand.first_copy_value
        rate = demand.rate_with_queued
        served = min(rate, copies * self._copy_capacity_rps)
        served -= min(rate, (copies - 1) * self._copy_capacity_rps)
        # The last copy takes rate / (copies - 1) - rate / copies off each other one.
        relief = rate * self._relief / (copies * (copies - 1))
        in_time = rate * (
            self._late_fraction(rate, copies - 1) - self._late_fraction(rate, copies)
        )
        return max(served, in_time) + relief

    def _late_fraction(self, rate: float, copies: int) -> float:
        if self._pause_prompts is None:
            return 0.0
        utilization = rate / (copies * self._capacity_rps)
        return late_fraction(utilization, self._pause_prompts)

    def _size_mb(self, name: str) -> float:
        model = self._spec.models.get(name)
        return model.size_mb if model is not None else 0.0


_NO_DEMAND = ModelDemand()


def late_fraction(utilization: float, pause_prompts: float) -> float:
    """Return the fraction of requests that the prompts of others make late.

    Load: prompts that arrive at random at an engine whose streams allow a pause. It is
    the chance that more prefill is pending than fits into the pause, as in a queue with
    one server.

    Args:
        utilization: Fraction of time that the engine spends on prefill.
        pause_prompts: Typical prompts that fit into the pause.
    """
    busy = min(utilization, 1.0)
    return busy * math.exp((busy - 1) * pause_prompts)


def demand_from_copies(
    engines: Sequence[EngineView], capacity_rps: float
) -> dict[str, ModelDemand]:
    """Return the demand to assume before entries have reported any.

    Models held by several engines are assumed to be in demand; about two copies of
    each stay.
    """
    copies = Counter(name for engine in engines for name in engine.held)
    rps_per_copy = MODEL_CAPACITY_SHARE * capacity_rps / 2
    return {
        name: ModelDemand(rps_per_copy * count, rps_per_copy * count)
        for name, count in copies.items()
        if count > 1
    }


def model_memory_mb(spec: EngineSpec) -> float:
    """Return the memory for models, without that reserved for all adapter slots."""
    largest = max((model.adapter_mb for model in spec.models.values()), default=0.0)
    return spec.memory_mb - spec.max_adapters * largest


def load_ms(engine: EngineView, model: ModelSpec) -> int:
    """Return the time that an engine takes to load a model."""
    if model.name in engine.in_host:
        return model.host_load_ms
    if model.name in engine.on_disk:
        return model.disk_load_ms
    return model.store_load_ms
