"""Checks of changes: what was confirmed is in force, and nothing else."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses
import itertools
import math
from typing import Any
from typing import Final

from soak import _documents
from soak import _lost

#: Probes of added routes below which their rate is not judged.
MIN_PROBES: Final = 20
#: Added routes must be served at least this fraction as often as others.
MIN_RELATIVE_RATE: Final = 0.25
#: The slack is this much longer for a node that was disturbed.
DISTURBED_FACTOR: Final = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRules:
    """Bounds of the deployment."""

    config_apply_s: float = 2.0
    downgrade_slack_s: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request to one entry and how it was handled."""

    entry: str
    #: Number of the entry's start.
    boot: int
    sent_s: float
    ended_s: float
    #: Name of an added route; empty for the one that all documents have.
    route: str
    key: str
    #: Service that ran it, or why none did.
    handling: str | _documents.Handling
    #: Whether the entry was in touch from the bound's start to the end.
    is_in_touch: bool


@dataclasses.dataclass(slots=True)
class _Version:
    content: _documents.Content
    sent_s: float
    acked_s: float = math.inf


class ConfigHistory:
    """Records documents, probes and reads; finds those that disagree."""

    def __init__(self, rules: ConfigRules) -> None:
        self._rules = rules
        self._versions: dict[int, _Version] = {}
        #: By entry and boot: when at least which version had been in force.
        self._floors: dict[tuple[str, int], list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )
        self._probed: collections.Counter[bool] = collections.Counter()
        self._served: collections.Counter[bool] = collections.Counter()

    def record_sent(
        self, version: int, content: _documents.Content, now_s: float
    ) -> None:
        """Records a valid document before it is sent."""
        self._versions.setdefault(version, _Version(content, now_s))

    def record_ack(self, version: int, now_s: float) -> None:
        """Records that a document was acknowledged."""
        known = self._versions[version]
        known.acked_s = min(known.acked_s, now_s)

    def newest_acked(self, before_s: float) -> int:
        """Returns the highest version acknowledged before a time."""
        return max(
            (v for v, k in self._versions.items() if k.acked_s < before_s),
            default=0,
        )

    def changes(self) -> list[_lost.Change]:
        """Returns all changes that may be in force."""
        return [
            _lost.Change(v.sent_s, v.acked_s) for v in self._versions.values()
        ]

    def record_read(
        self, sent_s: float, document: dict[str, Any]
    ) -> Iterator[str]:
        """Yields what is wrong with a document that was read back."""
        version = document["version"]
        acked = self.newest_acked(sent_s)
        if version < acked:
            yield (
                f"CONFIG: version {version} was read after version {acked} "
                "had been acknowledged"
            )
        known = self._versions.get(version)
        if version and known is None:
            yield f"CONFIG: version {version} was read, which is not valid"
        if known and known.content.document(version) != document:
            yield f"CONFIG: version {version} was read with other content"

    def record_probe(self, probe: Probe) -> Iterator[str]:
        """Yields what is wrong with how a probe was handled."""
        allowed = self._consistent_versions(probe)
        text = (
            f"CONFIG: route {probe.route!r} with key {probe.key!r} gave "
            f"{probe.handling} at {probe.entry}, sent {probe.sent_s:.2f}"
        )
        if not allowed:
            yield f"{text}, as no version allows"
            return
        floor = self._floor(probe)
        if allowed[-1] < floor:
            yield f"{text}, version {floor} had been in force in this boot"
        minimum = self.newest_acked(probe.sent_s - self._rules.config_apply_s)
        if probe.is_in_touch and allowed[-1] < minimum:
            yield f"{text}, version {minimum} had been acknowledged"
        self._raise_floor(probe, allowed[0])

    def _consistent_versions(self, probe: Probe) -> list[int]:
        """Returns the versions that handle a probe as it was handled."""
        return sorted(
            v
            for v, known in self._versions.items()
            if known.sent_s <= probe.ended_s
            and known.content.handling(probe.route, probe.key) == probe.handling
        )

    def _floor(self, probe: Probe) -> int:
        slack_s = self._rules.downgrade_slack_s
        if not probe.is_in_touch:
            slack_s *= DISTURBED_FACTOR
        floors = self._floors[probe.entry, probe.boot]
        known = bisect.bisect_left(floors, (probe.sent_s - slack_s, 0))
        return max((v for _, v in floors[:known]), default=0)

    def _raise_floor(self, probe: Probe, version: int) -> None:
        """Notes that at least a version was in force when a probe ended.

        With a floor known before, only versions from there on are possible.
        """
        floors = self._floors[probe.entry, probe.boot]
        highest = max((v for _, v in floors), default=0)
        if version > highest:
            bisect.insort(floors, (probe.ended_s, version))

    def record_rate(self, *, is_added: bool, is_served: bool) -> None:
        """Records a probe, in steady state, of a route that is in force."""
        self._probed[is_added] += 1
        self._served[is_added] += is_served

    def is_in_force(self, route: str, key: str, now_s: float) -> bool:
        """Whether every version that may be in force serves a request."""
        minimum = self.newest_acked(now_s - self._rules.config_apply_s)
        possible = [
            known.content.handling(route, key)
            for v, known in self._versions.items()
            if v >= minimum
        ]
        return bool(minimum) and all(isinstance(h, str) for h in possible)

    def rate_violations(self) -> Iterator[str]:
        """Yields if added routes are served far less than the others."""
        rates = {
            is_added: self._served[is_added] / max(self._probed[is_added], 1)
            for is_added in (True, False)
        }
        if self._probed[True] < MIN_PROBES:
            return
        if rates[True] < MIN_RELATIVE_RATE * rates[False]:
            yield (
                f"CONFIG: added routes served {self._served[True]} of "
                f"{self._probed[True]} probes, the others "
                f"{self._served[False]} of {self._probed[False]}"
            )

    def content(self, version: int) -> _documents.Content:
        """Returns the content of a version that was sent."""
        return self._versions[version].content

    def latest_versions(self, count: int) -> list[_documents.Content]:
        """Returns the contents of the highest versions, newest first."""
        versions = sorted(self._versions, reverse=True)
        return [
            self._versions[v].content for v in itertools.islice(versions, count)
        ]
