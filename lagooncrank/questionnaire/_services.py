"""Declarations of model services, plain services and client accounts."""

import math

from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _commented_yaml
from lagooncrank.questionnaire import _demand
from lagooncrank.questionnaire import _replica_placement
from lagooncrank.questionnaire import _shares
from lagooncrank.questionnaire import _units

#: Lower bound of an account's limit on queued requests.
MIN_QUEUED_REQUESTS = 10

_Value = _commented_yaml.CommentedValue


def model_section(
    answers: _answers.Answers,
    model: _answers.ModelAnswers,
    placement: _replica_placement.ReplicaPlacement,
) -> _commented_yaml.Section:
    """Returns the declaration of one model service."""
    demand = _demand.demand_for(answers, model.name)
    needed_replicas = _demand.required_replicas(model, demand.total)
    remaining = ", ".join(
        f"{count} without {domain}"
        for domain, count in _replica_placement.replicas_after_loss(
            answers, placement
        )
    )
    placed = ", ".join(
        f"{count} in {domain}"
        for domain, count in placement.by_fabric_domain.items()
    )
    first_token_ms = _first_token_target_ms(answers, model)
    weight_bytes = _units.gib_to_bytes(model.weight_gib_per_instance)
    return _commented_yaml.Section(
        {
            "name": _Value(model.name, "what callers ask for"),
            "version": _Value(model.version, "as answered"),
            "replicas": _Value(
                model.replicas,
                f"as wanted; room for {placed}; the busiest hour needs "
                f"{needed_replicas}; left after a failure: {remaining}",
            ),
            "replicas_floor": _Value(
                model.replicas_floor,
                f"as answered; the small accounts alone need "
                f"{_demand.required_replicas(model, demand.small)}",
            ),
            "max_replicas": _Value(
                model.replicas + placement.extra_replicas,
                f"instances left over carry {placement.extra_replicas} more, "
                "which serve instead of standing idle and make up for a loss",
            ),
            "instances_per_replica": _Value(
                model.instances_per_replica, "machines of one copy"
            ),
            "accelerators_per_instance": _Value(
                model.accelerators_per_instance, "as answered"
            ),
            "concurrency_per_replica": _Value(
                model.concurrency_per_replica, "drafts of one copy at once"
            ),
            "tokens_per_s_per_replica": _Value(
                model.tokens_per_s_per_replica, "pace of one busy copy"
            ),
            "max_output_tokens": _Value(
                model.longest_answer_tokens, "the longest draft"
            ),
            "first_token_target_ms": _Value(
                first_token_ms, "the least patient account that uses it"
            ),
            "between_tokens_target_ms": _Value(
                model.between_tokens_ms, "as answered"
            ),
            "weight_bytes_per_instance": _Value(
                weight_bytes, f"{model.weight_gib_per_instance:g} GiB"
            ),
        }
    )


def service_section(
    service: _answers.ServiceAnswers,
) -> _commented_yaml.Section:
    """Returns the declaration of one plain service."""
    if service.may_repeat:
        repeat_reason = (
            "a call done twice does no harm, so lost calls are retried"
        )
    else:
        repeat_reason = (
            "a call done twice does harm, so callers must send an "
            "Idempotency-Key and nothing is sent a second time"
        )
    if service.outcome_path:
        lookup_reason = "tells whether a call ran whose answer was lost"
    else:
        lookup_reason = "no lookup: a call whose answer was lost stays unknown"
    retention_ms = max(round(service.remembered_h * _units.MS_PER_H), 1)
    return _commented_yaml.Section(
        {
            "name": _Value(service.name, "part of the path that callers use"),
            "repeatable": _Value(service.may_repeat, repeat_reason),
            "timeout_ms": _Value(
                _to_positive_ms(service.longest_answer_s),
                "longest answer expected",
            ),
            "outcome_lookup_path": _Value(
                service.outcome_path or None, lookup_reason
            ),
            "answer_retention_ms": _Value(
                retention_ms,
                f"customers may ask again for {service.remembered_h:g} h",
            ),
        }
    )


def account_section(
    account: _answers.AccountAnswers, share: _shares.Share
) -> _commented_yaml.Section:
    """Returns the declaration of one client account."""
    requests_per_s = sum(traffic.requests_per_s for traffic in account.traffic)
    max_queued = max(
        math.ceil(2 * requests_per_s * account.first_token_wait_s),
        MIN_QUEUED_REQUESTS,
    )
    allowed = [traffic.model for traffic in account.traffic]
    allowed += account.services
    return _commented_yaml.Section(
        {
            "name": _Value(account.name, "as answered"),
            "key_sha256s": _Value(
                list(account.key_sha256s), "digests of its keys"
            ),
            "share": _Value(share.share, share.reason),
            "first_token_target_ms": _Value(
                _to_positive_ms(account.first_token_wait_s),
                "wait that it bears",
            ),
            "max_queued_requests": _Value(
                max_queued,
                f"twice what comes in {account.first_token_wait_s:g} s at "
                f"{requests_per_s:g} drafts a second, at least "
                f"{MIN_QUEUED_REQUESTS}; more would start too late anyway",
            ),
            "services": _Value(sorted(set(allowed)), "what it said it uses"),
        }
    )


def _first_token_target_ms(
    answers: _answers.Answers, model: _answers.ModelAnswers
) -> int:
    waits = [
        account.first_token_wait_s
        for account in answers.accounts
        for traffic in account.traffic
        if traffic.model == model.name
    ]
    return _to_positive_ms(min(waits, default=model.fastest_first_token_s))


def _to_positive_ms(duration_s: float) -> int:
    return max(_units.s_to_ms(duration_s), 1)
