"""Declarations of placement, weight store, leases and retries."""

import dataclasses

from lagooncrank import model as lagooncrank_model
from lagooncrank.questionnaire import _answers
from lagooncrank.questionnaire import _commented_yaml
from lagooncrank.questionnaire import _units

#: Lower bound of the timeout of an order.
MIN_ORDER_TIMEOUT_S = 30.0
#: Ratio of the timeout of an order to the time of one load.
ORDER_TIMEOUT_FACTOR = 2.0
#: Decimal places of a computed weight.
_WEIGHT_DIGITS = 6

_Value = _commented_yaml.CommentedValue
_RETRIES = lagooncrank_model.RetryRules()
_LEASES = lagooncrank_model.LeaseRules()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Time that one instance needs to load its weights, and their size."""

    seconds: float
    gib: float


def slowest_load(answers: _answers.Answers) -> LoadEstimate:
    """Estimates the load of the largest model while the store is busy."""
    store = answers.weight_store
    gib = max((m.weight_gib_per_instance for m in answers.models), default=0.0)
    return LoadEstimate(gib * store.loads_at_once / store.gib_per_s, gib)


def is_downtime_worse(
    answers: _answers.Answers, model: _answers.ModelAnswers
) -> bool:
    """Returns whether downtime of a replica outweighs idle accelerators."""
    minutes = answers.tolerance.idle_accelerator_minutes
    return minutes > _accelerators(model)


def placement_section(answers: _answers.Answers) -> _commented_yaml.Section:
    """Returns the declared weights and timeouts of placement."""
    tolerance = answers.tolerance
    minutes = tolerance.idle_accelerator_minutes
    load = slowest_load(answers)
    grace_s = min(tolerance.usual_pause_s, load.seconds)
    order_timeout_s = max(
        ORDER_TIMEOUT_FACTOR * load.seconds, MIN_ORDER_TIMEOUT_S
    )
    return _commented_yaml.Section(
        {
            "group_downtime_weight": _Value(
                1.0, "the unit: one copy down for one second"
            ),
            "stranded_accelerator_weight": _Value(
                round(1 / minutes, _WEIGHT_DIGITS),
                f"{minutes:g} minutes of one idle accelerator are as bad as "
                f"one minute of a copy down, so 1/{minutes:g}"
                f"{_describe_priorities(answers)}",
            ),
            "spare_instances": _Value(
                tolerance.further_losses,
                "kept free in each fabric domain for losses right after a "
                "repair",
            ),
            "pause_grace_ms": _Value(
                _units.s_to_ms(grace_s),
                f"a pause usually lasts {tolerance.usual_pause_s:g} s and a "
                f"load of {load.gib:g} GiB {load.seconds:g} s; waiting longer "
                "than the shorter of the two does not pay",
            ),
            "hold_down_ms": _Value(
                _units.s_to_ms(tolerance.trusted_after_s),
                "time up after which an instance that failed is used again",
            ),
            "max_order_ms": _Value(
                _units.s_to_ms(order_timeout_s),
                f"{ORDER_TIMEOUT_FACTOR:g} times a load of {load.seconds:g} s, "
                f"at least {MIN_ORDER_TIMEOUT_S:g} s",
            ),
        }
    )


def weight_store_section(answers: _answers.Answers) -> _commented_yaml.Section:
    """Returns the declared limits of the weight store."""
    store = answers.weight_store
    return _commented_yaml.Section(
        {
            "address": _Value(store.address, "as answered"),
            "bytes_per_s": _Value(
                max(_units.gib_to_bytes(store.gib_per_s), 1),
                f"{store.gib_per_s:g} GiB/s in all",
            ),
            "concurrent_loads": _Value(store.loads_at_once, "as answered"),
        }
    )


def lease_section(answers: _answers.Answers) -> _commented_yaml.Section:
    """Returns the declared durations of leases."""
    tolerance = answers.tolerance
    return _commented_yaml.Section(
        {
            "announcement_ms": _Value(
                _LEASES.announcement_ms,
                "two announcements a second apart may be missed; a server "
                "that leaves gets no new work after 3 s",
            ),
            "configuration_ms": _Value(
                _units.s_to_ms(tolerance.cut_off_s),
                "how long an entry that is cut off goes on",
            ),
            "entries_keep_for_ms": _Value(
                _units.s_to_ms(tolerance.addresses_kept_s),
                "how long applications keep an address; a planned stop of an "
                "entry waits as long",
            ),
        }
    )


def retry_section() -> _commented_yaml.Section:
    """Returns the declared limits on retries."""
    return _commented_yaml.Section(
        {
            "budget_ratio": _Value(
                _RETRIES.budget_ratio,
                "one retry in ten requests, so that a failing site does not "
                "double the load on the others",
            ),
            "min_retries_per_minute": _Value(
                _RETRIES.min_retries_per_minute,
                "lets an account with little traffic retry at all",
            ),
            "max_attempts": _Value(
                _RETRIES.max_attempts, "the first one and one retry"
            ),
            "suspicion_ms": _Value(
                _RETRIES.suspicion_ms,
                "callers send a request again within minutes; until then one "
                "that was there at a crash is run apart from others",
            ),
        }
    )


def _accelerators(model: _answers.ModelAnswers) -> int:
    return model.instances_per_replica * model.accelerators_per_instance


def _describe_priorities(answers: _answers.Answers) -> str:
    """Describes for each model whether downtime or idleness goes first."""
    descriptions = []
    for model in answers.models:
        accelerators = _accelerators(model)
        if is_downtime_worse(answers, model):
            priority = "downtime goes first"
        else:
            priority = "idle accelerators go first"
        descriptions.append(
            f"; a copy of {model.name} has {accelerators} accelerators, so "
            f"{priority}"
        )
    return "".join(descriptions)
