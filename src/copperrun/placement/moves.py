"""Plans which engine of a pool loads and evicts which model next; no I/O.

Demand moves between many models while each engine holds two to five of them. A resident
model stays unless a load gains clearly more than its victims are worth: a first copy
serves requests that no engine serves now, a further copy serves requests beyond the
capacity of the others, or takes load off them. Each side computes the same moves from
the same inputs and carries out those of its own engine.

The value of a copy, and so the gain of a move, is in requests per second.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
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
) -> Iterator[Move]:
    """Yield the moves worth making now, the best first.

    Args:
        spec: Properties of the pool's engines.
        engines: All engines of the pool that stay.
        demand: Demand by model.
        pressure: Mean fraction of time that the engines spend on prefill.
        capacity_rps: Requests per second that one engine can serve.
    """
    planner = _Planner(spec, engines, demand, pressure, capacity_rps)
    for _ in range(MAX_MOVES):
        move = planner.best_move()
        if move is None:
            return
        yield move
        planner.apply(move)


class _Planner:
    """Chooses moves one by one, with the residency after those chosen so far."""

    def __init__(
        self,
        spec: EngineSpec,
        engines: Sequence[EngineView],
        demand: Mapping[str, ModelDemand],
        pressure: float,
        capacity_rps: float,
    ) -> None:
        self._spec = spec
        self._views = {engine.id: engine for engine in engines}
        self._held = {engine.id: set(engine.held) for engine in engines}
        self._available = {engine.id for engine in engines if not engine.is_busy}
        self._demand = demand
        self._relief = BASE_RELIEF + PRESSURE_RELIEF * pressure
        self._copy_capacity_rps = MODEL_CAPACITY_SHARE * capacity_rps
        self._copies = Counter(
            name for held in self._held.values() for name in held if name in spec.models
        )
        self._eviction_costs_by_engine: dict[str, dict[str, float]] = {}
        self._memory_mb = model_memory_mb(spec)
        total = sum(item.rate for item in demand.values())
        self._mean_rate = max(total / max(len(engines), 1), 0.001)

    def best_move(self) -> Move | None:
        """Return the move with the greatest gain, or None when none is worth it."""
        best: Move | None = None
        for model in self._spec.models.values():
            value = self._marginal_value(model.name, self._copies[model.name] + 1)
            if value < MIN_GAIN_RPS or (best is not None and value <= best.gain):
                continue
            for engine_id in sorted(self._available):
                if model.name in self._held[engine_id]:
                    continue
                move = self._evaluate_move(engine_id, model, value)
                if move is not None and (best is None or move.gain > best.gain):
                    best = move
        return best if best is not None and best.gain >= MIN_GAIN_RPS else None

    def apply(self, move: Move) -> None:
        """Count a move as made; its engine is not available for another one."""
        held = self._held[move.engine]
        held.difference_update(move.victims)
        held.add(move.model)
        self._copies.subtract(move.victims)
        self._copies[move.model] += 1
        self._available.discard(move.engine)
        self._eviction_costs_by_engine.clear()

    def _evaluate_move(
        self, engine_id: str, model: ModelSpec, value: float
    ) -> Move | None:
        needed_mb = model.size_mb - self._free_mb(engine_id)
        costs = self._eviction_costs(engine_id)
        if needed_mb > 0 and value - min(costs.values(), default=0.0) < MIN_GAIN_RPS:
            return None
        victims: list[str] = []
        for name in costs:
            if needed_mb <= 0:
                break
            victims.append(name)
            needed_mb -= self._size_mb(name)
        if needed_mb > 0:
            return None
        # A victim stays when the later ones free enough memory without it.
        for name in list(victims):
            if needed_mb + self._size_mb(name) <= 0:
                victims.remove(name)
                needed_mb += self._size_mb(name)
        delay_s = load_ms(self._views[engine_id], model) / 1000
        if victims:
            active = self._views[engine_id].active
            delay_s += (
                TYPICAL_DRAIN_S if active.intersection(victims) else IDLE_EVICTION_S
            )
        # Requests that are not served during the move reduce its gain.
        gain = value * max(1 - delay_s / PAYBACK_S, 0.0)
        gain -= sum(costs[name] for name in victims)
        gain -= self._balance_cost(engine_id)
        return Move(engine_id, model.name, tuple(victims), gain)

    def _eviction_costs(self, engine_id: str) -> dict[str, float]:
        """Return the value of each model that may be evicted, in order of eviction.

        Models in use rank later, since an unload waits for running requests.
        """
        cached = self._eviction_costs_by_engine.get(engine_id)
        if cached is None:
            view = self._views[engine_id]
            costs = {
                name: self._marginal_value(name, self._copies[name])
                for name in self._held[engine_id] - view.recently_loaded
            }
            order = sorted(
                (cost + ACTIVE_VICTIM_COST_RPS * (name in view.active), name)
                for name, cost in costs.items()
            )
            cached = {name: costs[name] for _, name in order}
            self._eviction_costs_by_engine[engine_id] = cached
        return cached

    def _marginal_value(self, name: str, copies: int) -> float:
        """Return the value of the last of ``copies`` copies of a model."""
        demand = self._demand.get(name, _NO_DEMAND)
        if copies <= 1:
            return demand.first_copy_value
        rate = demand.rate_with_queued
        served = min(rate, copies * self._copy_capacity_rps)
        served -= min(rate, (copies - 1) * self._copy_capacity_rps)
        # The last copy takes rate / (copies - 1) - rate / copies off each other one.
        return served + rate * self._relief / (copies * (copies - 1))

    def _balance_cost(self, engine_id: str) -> float:
        rate = sum(
            self._demand.get(name, _NO_DEMAND).rate / max(self._copies[name], 1)
            for name in self._held[engine_id]
        )
        return BALANCE_COST_RPS * rate / self._mean_rate

    def _free_mb(self, engine_id: str) -> float:
        return self._memory_mb - sum(map(self._size_mb, self._held[engine_id]))

    def _size_mb(self, name: str) -> float:
        model = self._spec.models.get(name)
        return model.size_mb if model is not None else 0.0


_NO_DEMAND = ModelDemand()


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
