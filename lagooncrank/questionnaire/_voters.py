"""Chooses the instances that vote and store the shared state."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from lagooncrank.questionnaire import _answers

#: Numbers of voters, the most resilient first; more than five do not pay off.
VOTER_COUNTS = (5, 3, 1)

_LOSSES = {
    _answers.Survival.FAILURE_DOMAIN: "a whole failure domain",
    _answers.Survival.INSTANCE: "one instance",
    _answers.Survival.NOTHING: "nothing",
}


@dataclasses.dataclass(frozen=True, slots=True)
class VoterChoice:
    """The chosen voters, and the reason for the choice."""

    names: frozenset[str]
    reason: str


def choose_voters(answers: _answers.Answers) -> VoterChoice | None:
    """Returns the largest set of voters that survives the required loss.

    Returns:
        None if no set of instances with disks survives it.
    """
    candidates = tuple(_rank_candidates(answers.entry_instances))
    for count in VOTER_COUNTS:
        chosen = candidates[:count]
        if len(chosen) == count and survives(chosen, answers.tolerance.survive):
            return VoterChoice(
                frozenset(instance.name for instance in chosen),
                _describe_choice(chosen, answers.tolerance.survive),
            )
    return None


def survives(
    voters: Sequence[_answers.EntryInstanceAnswers],
    loss: _answers.Survival,
) -> bool:
    """Returns whether a majority of the voters remains after the loss."""
    majority = len(voters) // 2 + 1
    if loss is _answers.Survival.NOTHING:
        return bool(voters)
    if loss is _answers.Survival.INSTANCE:
        return len(voters) - 1 >= majority
    domains = [voter.failure_domain for voter in voters]
    largest_domain_size = max(
        (domains.count(domain) for domain in domains), default=0
    )
    return len(voters) - largest_domain_size >= majority


def _rank_candidates(
    instances: Sequence[_answers.EntryInstanceAnswers],
) -> Iterator[_answers.EntryInstanceAnswers]:
    """Yields the instances with disks, interleaved by failure domain."""
    with_disk = [instance for instance in instances if instance.data_folder]
    counts: dict[str, int] = {}
    ranked = []
    for instance in with_disk:
        rank = counts.get(instance.failure_domain, 0)
        counts[instance.failure_domain] = rank + 1
        ranked.append((rank, instance))
    for _, instance in sorted(ranked, key=lambda pair: pair[0]):
        yield instance


def _describe_choice(
    voters: Sequence[_answers.EntryInstanceAnswers],
    loss: _answers.Survival,
) -> str:
    domains = {voter.failure_domain for voter in voters}
    majority = len(voters) // 2 + 1
    return (
        f"{len(voters)} voters in {len(domains)} failure domains; {majority} "
        f"must be up, which holds after the loss of {_LOSSES[loss]}"
    )
