"""Scenarios of the fairness benchmark."""

import dataclasses
import functools

from bench import _workload
from lagooncrank import model

SERVICE = model.ServiceName("drafts")
FAILURE_DOMAINS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """Registered names of the policies that every entry uses."""

    admission: str
    router: str
    retry: str


NAIVE_POLICIES = Policies("first_come", "round_robin", "always")
DEFAULT_POLICIES = Policies("fair_share", "balanced", "budget")


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Load, size of the system and faults of one run."""

    name: str
    loads: tuple[_workload.AccountLoad, ...]
    #: Accounts whose latency targets are evaluated.
    small_accounts: tuple[str, ...]
    duration_ms: int = 30_000
    seed: int = 1
    entries: int = 6
    replicas: int = 50
    slots_per_replica: int = 32
    tokens_per_s_per_replica: int = 2_000
    first_token_target_ms: int = 1_300
    between_tokens_target_ms: int = 51
    #: Delay until a replica's load report reaches the entries.
    load_report_delay_ms: int = 500
    #: Delay until an entry's usage report reaches the other entries.
    usage_report_delay_ms: int = 2
    #: Fraction of the replicas that are slow, and factor on their step time.
    straggler_fraction: float = 0.0
    slowdown: float = 4.0
    #: Time at which the entries and replicas of failure domain 0 fail; -1 for
    #: never.
    domain_failure_ms: int = -1
    #: Time at which entry 0 loses its links to the other entries; -1 for never.
    entry_isolation_ms: int = -1


def ten_accounts(
    prompt_tokens: int = 300,
    output_tokens: int = 200,
    small_load_factor: float = 0.5,
    large_burst_factor: float = 10.0,
    replicas: int = 50,
) -> tuple[_workload.AccountLoad, ...]:
    """Returns the loads of ten accounts with equal shares; three have bursts.

    Args:
        prompt_tokens: Mean length of a prompt.
        output_tokens: Mean length of an output.
        small_load_factor: Constant load of each small account, relative to its
            share of the capacity.
        large_burst_factor: Load of each large account during its bursts,
            relative to its share of the capacity.
        replicas: Number of replicas that the accounts share.
    """
    tokens_per_s = replicas * 2_000
    share_per_s = tokens_per_s / output_tokens / 10
    small_loads = tuple(
        _workload.AccountLoad(
            account=f"small-{index}",
            base_rate_per_s=small_load_factor * share_per_s,
            burst_rate_per_s=small_load_factor * share_per_s,
            period_ms=10_000,
            offset_ms=0,
            burst_ms=0,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            entries=(index % 6, (index + 1) % 6),
        )
        for index in range(7)
    )
    large_loads = tuple(
        _workload.AccountLoad(
            account=f"large-{index}",
            base_rate_per_s=0.5 * share_per_s,
            burst_rate_per_s=large_burst_factor * share_per_s,
            period_ms=12_000,
            offset_ms=2_000 + 1_000 * index,
            burst_ms=8_000,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            entries=(0, 1, 2, 3, 4, 5),
        )
        for index in range(3)
    )
    return small_loads + large_loads


SMALL_ACCOUNTS = tuple(f"small-{index}" for index in range(7))


def all_scenarios() -> tuple[Scenario, ...]:
    """Returns the scenarios of the benchmark."""
    base_scenario = Scenario("bursts", ten_accounts(), SMALL_ACCOUNTS)
    variant = functools.partial(dataclasses.replace, base_scenario)
    long_output_loads = ten_accounts(output_tokens=1_000)
    # After the loss of a failure domain, 60 % of an account's share exceeds its
    # share of the remaining capacity.
    small_at_40_percent = ten_accounts(small_load_factor=0.4)
    small_at_60_percent = ten_accounts(small_load_factor=0.6)
    domain_failure = functools.partial(variant, domain_failure_ms=14_000)
    return (
        base_scenario,
        variant(
            name="long answers", loads=long_output_loads, duration_ms=60_000
        ),
        variant(name="reports 2 s late", load_report_delay_ms=2_000),
        variant(name="10 % stragglers", straggler_fraction=0.1),
        domain_failure(name="failure domain lost"),
        domain_failure(
            name="domain lost, small at 60 %", loads=small_at_60_percent
        ),
        domain_failure(
            name="all at once, small at 40 %",
            loads=small_at_40_percent,
            load_report_delay_ms=2_000,
            straggler_fraction=0.1,
        ),
        variant(name="entry cut off", entry_isolation_ms=8_000),
    )


def declarations(scenario: Scenario) -> model.Declarations:
    """Returns the declarations in force at a scenario's entries."""
    service = model.ModelService(
        SERVICE,
        "1",
        replicas=scenario.replicas,
        replicas_floor=1,
        instances_per_replica=1,
        concurrency_per_replica=scenario.slots_per_replica,
        tokens_per_s_per_replica=scenario.tokens_per_s_per_replica,
    )
    accounts = tuple(
        model.ClientAccount(
            model.ClientAccountId(load.account), key_sha256s=(), share=10
        )
        for load in scenario.loads
    )
    return model.Declarations((service,), client_accounts=accounts)
