"""Placement of the requested replicas in the fabric domains."""

from collections.abc import Iterator
import dataclasses

from lagooncrank.questionnaire import _answers


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaPlacement:
    """Number of replicas of one model in each fabric domain."""

    model: str
    by_fabric_domain: dict[str, int]
    #: Further replicas for which enough instances stay unused.
    extra_replicas: int = 0

    @property
    def replicas(self) -> int:
        """Replicas in all fabric domains together."""
        return sum(self.by_fabric_domain.values())


def place_replicas(answers: _answers.Answers) -> tuple[ReplicaPlacement, ...]:
    """Places the replicas of all models, those with most instances first.

    Spare instances of each fabric domain are reserved beforehand. Replicas
    are spread: each goes to the fabric domain with the most free instances.
    """
    free_instances = {
        domain.name: domain.instances - answers.tolerance.further_losses
        for domain in answers.fabric_domains
    }
    widest_first = sorted(
        answers.models, key=lambda m: m.instances_per_replica, reverse=True
    )
    placed = {m.name: _place_model(m, free_instances) for m in widest_first}
    return tuple(
        dataclasses.replace(
            placed[model.name],
            extra_replicas=sum(
                unused // model.instances_per_replica
                for unused in free_instances.values()
            ),
        )
        for model in answers.models
    )


def _place_model(
    model: _answers.ModelAnswers, free_instances: dict[str, int]
) -> ReplicaPlacement:
    placement = ReplicaPlacement(model.name, {})
    for _ in range(model.replicas):
        name = max(
            free_instances, key=lambda n: free_instances[n], default=None
        )
        if name is None or free_instances[name] < model.instances_per_replica:
            break
        free_instances[name] -= model.instances_per_replica
        placement.by_fabric_domain[name] = (
            placement.by_fabric_domain.get(name, 0) + 1
        )
    return placement


def replicas_after_loss(
    answers: _answers.Answers, placement: ReplicaPlacement
) -> Iterator[tuple[str, int]]:
    """Yields each failure domain with the replicas left after its loss."""
    domain_of = {d.name: d.failure_domain for d in answers.fabric_domains}
    for failure_domain in sorted(set(domain_of.values())):
        lost = sum(
            count
            for fabric_domain, count in placement.by_fabric_domain.items()
            if domain_of[fabric_domain] == failure_domain
        )
        yield failure_domain, placement.replicas - lost
