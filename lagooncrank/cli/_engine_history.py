"""Engines and replicas over time, from the log lines of control nodes."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from lagooncrank import decisions
from lagooncrank import model
from lagooncrank.cli import _explain


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """Engines and replicas from one moment to the next change."""

    wall_ms: int
    #: Serving replicas by model.
    serving: dict[str, int]
    #: Engines that are ready for work.
    ready: int
    #: Ready engines that hold weights and are in no serving replica.
    idle_warm: int
    #: Ready engines without weights.
    idle_empty: int

    @property
    def stranded(self) -> int:
        """Ready engines that are in no serving replica."""
        return self.idle_warm + self.idle_empty


@dataclasses.dataclass(slots=True)
class _Engine:
    service: str = ""
    is_ready: bool = False
    has_weights: bool = False


@dataclasses.dataclass(slots=True)
class _Replica:
    model_name: str
    members: tuple[str, ...]
    phase: str


class EngineHistory:
    """Follows the engines and replicas through the lines in their order."""

    def __init__(self) -> None:
        self._engines: dict[str, _Engine] = {}
        self._replicas: dict[str, _Replica] = {}
        #: Services whose servers hold weights.
        self._engine_services: set[str] = set()

    def states(
        self, lines: Iterable[_explain.LogLine]
    ) -> Iterator[EngineState]:
        """Yields the state after each change."""
        for line in lines:
            if line["event"] == decisions.Event.SERVER:
                self._apply_report(line)
            elif line["event"] == decisions.Event.GROUP:
                self._apply_change(line)
            else:
                continue
            yield self._state(line["wall_ms"])

    def _apply_report(self, line: _explain.LogLine) -> None:
        engine = self._engines.setdefault(line["server"], _Engine())
        engine.is_ready = line.get("state") == model.ServerState.READY
        if "staged" not in line:
            return
        engine.service = line.get("service", "")
        engine.has_weights = bool(line["staged"] or line.get("loaded"))
        if engine.has_weights or line.get("membership"):
            self._engine_services.add(engine.service)

    def _apply_change(self, line: _explain.LogLine) -> None:
        name = line.get("group")
        if name is None or line.get("outcome") != "OK":
            return
        if "members" in line:
            self._replicas[name] = _Replica(
                line.get("model", ""), tuple(line["members"]), line["phase"]
            )
        elif "phase" in line and name in self._replicas:
            if line["phase"] is None:
                del self._replicas[name]
            else:
                self._replicas[name].phase = line["phase"]

    def _state(self, wall_ms: int) -> EngineState:
        serving: dict[str, int] = {}
        busy: set[str] = set()
        for replica in self._replicas.values():
            if replica.phase != model.GroupPhase.SERVING:
                continue
            busy.update(replica.members)
            name = replica.model_name
            serving[name] = serving.get(name, 0) + 1
        ready = {
            server: engine
            for server, engine in self._engines.items()
            if engine.is_ready and engine.service in self._engine_services
        }
        idle = [e for server, e in ready.items() if server not in busy]
        warm = sum(e.has_weights for e in idle)
        return EngineState(wall_ms, serving, len(ready), warm, len(idle) - warm)
