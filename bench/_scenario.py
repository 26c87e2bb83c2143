"""Settings of one run of the fairness bench."""

import dataclasses
import functools

from bench import _workload
from lagooncrank import model

SERVICE = model.ServiceName("drafts")
FAILURE_DOMAINS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Policies:
    """Names of the policies that every entry uses."""

    admission: str
    router: str
    retry: str


NAIVE = Policies("first_come", "round_robin", "always")
OURS = Policies("fair_share", "balanced", "budget")


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in one run."""

    name: str
    loads: tuple[_workload.AccountLoad, ...]
    #: Accounts whose targets are judged.
    small: tuple[str, ...]
    duration_ms: int = 30_000
    seed: int = 1
    entries: int = 6
    replicas: int = 50
    slots_per_replica: int = 32
    tokens_per_s_per_replica: int = 2_000
    first_token_target_ms: int = 1_300
    between_tokens_target_ms: int = 51
    #: Age of load reports when they reach the entries.
    report_lag_ms: int = 500
    #: Age of usage reports when they reach the other entries.
    usage_lag_ms: int = 2
    #: Part of the replicas that are slow, and by how much.
    stragglers: float = 0.0
    slowness: float = 4.0
    #: When failure domain 0 is lost, entries and replicas; -1 for never.
    domain_lost_ms: int = -1
    #: When entry 0 loses its links to the other entries; -1 for never.
    entry_cut_off_ms: int = -1


def ten_accounts(
    prompt_tokens: int = 300,
    output_tokens: int = 200,
    small_part: float = 0.5,
    large_factor: float = 10.0,
    replicas: int = 50,
) -> tuple[_workload.AccountLoad, ...]:
    """Returns ten equal shares: three accounts burst to ten times theirs."""
    tokens_per_s = replicas * 2_000
    share_per_s = tokens_per_s / output_tokens / 10
    small = tuple(
        _workload.AccountLoad(
            account=f"small-{index}",
            quiet_per_s=small_part * share_per_s,
            burst_per_s=small_part * share_per_s,
            period_ms=10_000,
            offset_ms=0,
            burst_ms=0,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            entries=(index % 6, (index + 1) % 6),
        )
        for index in range(7)
    )
    large = tuple(
        _workload.AccountLoad(
            account=f"large-{index}",
            quiet_per_s=0.5 * share_per_s,
            burst_per_s=large_factor * share_per_s,
            period_ms=12_000,
            offset_ms=2_000 + 1_000 * index,
            burst_ms=8_000,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            entries=(0, 1, 2, 3, 4, 5),
        )
        for index in range(3)
    )
    return small + large


SMALL = tuple(f"small-{index}" for index in range(7))


def scenarios() -> tuple[Scenario, ...]:
    """Returns every run of the bench."""
    plain = Scenario("bursts", ten_accounts(), SMALL)
    change = functools.partial(dataclasses.replace, plain)
    long_answers = ten_accounts(output_tokens=1_000)
    # After a loss six tenths are more than a share of what is left.
    small_at_40 = ten_accounts(small_part=0.4)
    small_at_60 = ten_accounts(small_part=0.6)
    lost = functools.partial(change, domain_lost_ms=14_000)
    return (
        plain,
        change(name="long answers", loads=long_answers, duration_ms=60_000),
        change(name="reports 2 s late", report_lag_ms=2_000),
        change(name="10 % stragglers", stragglers=0.1),
        lost(name="failure domain lost"),
        lost(name="domain lost, small at 60 %", loads=small_at_60),
        lost(
            name="all at once, small at 40 %",
            loads=small_at_40,
            report_lag_ms=2_000,
            stragglers=0.1,
        ),
        change(name="entry cut off", entry_cut_off_ms=8_000),
    )


def declarations(scenario: Scenario) -> model.Declarations:
    """Returns the declarations that a scenario's entries have in force."""
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
