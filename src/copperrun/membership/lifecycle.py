"""Lifecycle of one process of the system."""

from __future__ import annotations

from enum import Enum

from loguru import logger
from transitions import Machine


class State(Enum):
    """Lifecycle states.

    Attributes:
        STARTING: Not yet able to serve.
        SERVING: Accepts work.
        LEAVING: Refuses new work and finishes running work.
        GONE: All work has ended.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class Lifecycle:
    """State machine of an entry or a side; the owning task drives it."""

    state: State

    def __init__(self, instance: str) -> None:
        self._instance = instance
        machine = Machine(
            self,
            states=State,
            initial=State.STARTING,
            auto_transitions=False,
            after_state_change="_log_change",
        )
        machine.add_transition("_serve", State.STARTING, State.SERVING)
        machine.add_transition("_leave", [State.STARTING, State.SERVING], State.LEAVING)
        machine.add_transition("_leave", [State.LEAVING, State.GONE], None)
        machine.add_transition("_finish", State.LEAVING, State.GONE)

    @property
    def accepts_work(self) -> bool:
        """Whether new work may start."""
        return self.state is State.SERVING

    def serve(self) -> None:
        """Begin to accept work."""
        self.trigger("_serve")  # type: ignore[attr-defined]

    def leave(self) -> None:
        """Stop accepting work; may be called again."""
        self.trigger("_leave")  # type: ignore[attr-defined]

    def finish(self) -> None:
        """Mark all work as ended."""
        self.trigger("_finish")  # type: ignore[attr-defined]

    def _log_change(self) -> None:
        logger.info(
            "lifecycle state changed", instance=self._instance, state=self.state.value
        )
