"""Failure drill: real processes on loopback, killed, frozen and restarted.

Three daemons, nine simulated engines in three fabric domains and a booking
service process completions and bookings while faults are injected one after
another. At the end, the results that callers received are compared with the
executions that the booking service counted.

Run: python -m bench.drill [--seconds-between 8]
"""

import argparse
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile

import aiohttp

from bench import _drill_callers
from bench import _drill_cluster
from lagooncrank import registry
from lagooncrank import results

RESULTS = pathlib.Path(__file__).parent / "results" / "drill.json"
COMPLETION_TASKS = 8
BOOKING_TASKS = 4
BOOKING_PAUSE_S = 0.05
OUTAGE_S = 6.0

_RESULT_CODE_NAMES = {code.value: code.name for code in results.ResultCode}

#: Injects a fault and returns once the affected processes run again.
Fault = Callable[[_drill_cluster.DrillCluster], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


@FAULTS.register("1_kill_leader")
async def _kill_leader(cluster: _drill_cluster.DrillCluster) -> None:
    name = await cluster.leader()
    cluster.send_signal(name, signal.SIGKILL)
    await cluster.wait_for_exit(name)
    await asyncio.sleep(OUTAGE_S)
    await cluster.restart(name)


@FAULTS.register("2_freeze_leader")
async def _freeze_leader(cluster: _drill_cluster.DrillCluster) -> None:
    await _freeze(cluster, await cluster.leader())


@FAULTS.register("3_kill_engine")
async def _kill_engine(cluster: _drill_cluster.DrillCluster) -> None:
    cluster.send_signal("engine-0-0", signal.SIGKILL)
    await cluster.wait_for_exit("engine-0-0")
    await asyncio.sleep(OUTAGE_S)
    await cluster.restart("engine-0-0")


@FAULTS.register("4_freeze_engine")
async def _freeze_engine(cluster: _drill_cluster.DrillCluster) -> None:
    await _freeze(cluster, "engine-1-0")


@FAULTS.register("5_freeze_fabric_domain")
async def _freeze_fabric_domain(cluster: _drill_cluster.DrillCluster) -> None:
    names = [f"engine-2-{member}" for member in range(3)]
    await asyncio.gather(*(_freeze(cluster, name) for name in names))


@FAULTS.register("6_freeze_booking_service")
async def _freeze_booking_service(cluster: _drill_cluster.DrillCluster) -> None:
    await _freeze(cluster, "booking")


@FAULTS.register("7_planned_stop_of_an_entry")
async def _stop_entry(cluster: _drill_cluster.DrillCluster) -> None:
    cluster.send_signal("n2", signal.SIGTERM)
    status = await cluster.wait_for_exit("n2")
    if status != 0:
        raise DrillError(f"n2 stopped with status {status}, not 0")
    await cluster.restart("n2")


@FAULTS.register("8_kill_two_entries")
async def _kill_two_entries(cluster: _drill_cluster.DrillCluster) -> None:
    for name in ("n1", "n3"):
        cluster.send_signal(name, signal.SIGKILL)
        await cluster.wait_for_exit(name)
    await asyncio.sleep(OUTAGE_S)
    for name in ("n1", "n3"):
        await cluster.restart(name)


async def _freeze(cluster: _drill_cluster.DrillCluster, name: str) -> None:
    cluster.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(OUTAGE_S)
    cluster.send_signal(name, signal.SIGCONT)


class DrillError(Exception):
    """Raised when a process violates a guarantee during the drill."""


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """Time from the start of one fault to the start of the next."""

    fault: str
    start_ms: int
    end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeriodRow:
    """Completions that ended in one period, counted by outcome."""

    fault: str
    ends: dict[str, int]
    #: Result codes of refusals and errors.
    codes: dict[str, int]
    #: Longest duration of a complete completion, from its request to its end.
    longest_whole_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of one drill, as written to the results file."""

    rows: list[PeriodRow]
    bookings: int
    booked: int
    unknown: int
    not_run: int
    booking_codes: dict[str, int]
    #: Descriptions of violated guarantees.
    broken: list[str]


async def _run_in_folder(folder: pathlib.Path, pause_s: float) -> Report:
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        cluster = _drill_cluster.DrillCluster(folder, session)
        try:
            return await _run_drill(cluster, session, pause_s)
        except Exception:
            for name in ("n1", "n2", "n3"):
                print(f"--- {name}\n{cluster.log_tail(name)}", file=sys.stderr)
            raise
        finally:
            await cluster.stop_all()


async def _run_drill(
    cluster: _drill_cluster.DrillCluster,
    session: aiohttp.ClientSession,
    pause_s: float,
) -> Report:
    await cluster.start_all()
    callers = _drill_callers.Callers(cluster, session)
    tasks = [
        asyncio.ensure_future(callers.send_completions(seed))
        for seed in range(COMPLETION_TASKS)
    ]
    tasks += [
        asyncio.ensure_future(callers.send_bookings(seed, BOOKING_PAUSE_S))
        for seed in range(BOOKING_TASKS)
    ]
    periods = await _inject_faults(cluster, pause_s)
    callers.stop()
    await asyncio.gather(*tasks)
    return await _build_report(cluster, callers, periods)


async def _inject_faults(
    cluster: _drill_cluster.DrillCluster, pause_s: float
) -> list[Period]:
    start_ms = cluster.now_ms()
    await asyncio.sleep(pause_s)
    periods = [Period("0_none", start_ms, cluster.now_ms())]
    for name, fault in FAULTS:
        start_ms = cluster.now_ms()
        print(f"{start_ms / 1_000:6.1f} s {name}", flush=True)
        await fault(cluster)
        await cluster.wait_until_all_serve()
        await asyncio.sleep(pause_s)
        periods.append(Period(name, start_ms, cluster.now_ms()))
    return periods


async def _build_report(
    cluster: _drill_cluster.DrillCluster,
    callers: _drill_callers.Callers,
    periods: list[Period],
) -> Report:
    execution_counts = await cluster.execution_counts()
    revisions = await cluster.revisions()
    bookings = callers.bookings
    settled = collections.Counter(
        "booked" if b.booked else b.last_status.value for b in bookings
    )
    codes = collections.Counter(
        _RESULT_CODE_NAMES[code] for b in bookings for code in b.codes
    )
    return Report(
        rows=[_period_row(period, callers.completions) for period in periods],
        bookings=len(bookings),
        booked=settled["booked"],
        unknown=settled[results.ExecutionStatus.UNKNOWN.value],
        not_run=settled[results.ExecutionStatus.NOT_RUN.value],
        booking_codes=dict(sorted(codes.items())),
        broken=[
            *_booking_violations(bookings, execution_counts),
            *_completion_violations(callers.completions, periods),
            *([] if revisions == [1, 1, 1] else [f"revisions {revisions}"]),
        ],
    )


def _period_row(
    period: Period, completions: list[_drill_callers.Completion]
) -> PeriodRow:
    in_period = [
        c for c in completions if period.start_ms <= c.end_ms < period.end_ms
    ]
    outcomes = collections.Counter(c.outcome.value for c in in_period)
    codes = collections.Counter(
        _RESULT_CODE_NAMES[c.code] for c in in_period if c.code
    )
    complete = _drill_callers.CompletionOutcome.COMPLETE
    longest_ms = max(
        (c.end_ms - c.start_ms for c in in_period if c.outcome is complete),
        default=0,
    )
    return PeriodRow(period.fault, dict(outcomes), dict(codes), longest_ms)


def _booking_violations(
    bookings: list[_drill_callers.Booking], execution_counts: dict[str, int]
) -> list[str]:
    violations = []
    for booking in bookings:
        count = execution_counts.get(booking.key, 0)
        if count > 1:
            violations.append(f"{booking.key} ran {count} times")
        if booking.booked and count != 1:
            violations.append(f"{booking.key} was booked but ran {count} times")
        reported_not_run = not booking.booked and booking.known_not_run
        if reported_not_run and count:
            violations.append(f"{booking.key} was reported as not run but ran")
    return violations


def _completion_violations(
    completions: list[_drill_callers.Completion], periods: list[Period]
) -> list[str]:
    corrupted = [
        c
        for c in completions
        if c.outcome is _drill_callers.CompletionOutcome.CORRUPTED
    ]
    violations = [
        f"completion at {c.start_ms} ms has missing or repeated tokens"
        for c in corrupted
    ]
    for period in periods:
        if period.fault not in ("0_none", "7_planned_stop_of_an_entry"):
            continue
        violations += [
            f"completion at {c.start_ms} ms ended as {c.outcome} during "
            f"{period.fault}"
            for c in completions
            if period.start_ms <= c.start_ms
            and c.end_ms < period.end_ms
            and c.outcome is not _drill_callers.CompletionOutcome.COMPLETE
        ]
    return violations


def _print_report(report: Report) -> None:
    outcomes = [o.value for o in _drill_callers.CompletionOutcome]
    print(f"| fault | {' | '.join(outcomes)} | longest ms | codes |")
    print("| --- |" + " --- |" * (len(outcomes) + 2))
    for row in report.rows:
        cells = " | ".join(str(row.ends.get(o, 0)) for o in outcomes)
        codes = ", ".join(f"{k} {v}" for k, v in sorted(row.codes.items()))
        print(f"| {row.fault} | {cells} | {row.longest_whole_ms} | {codes} |")
    print(
        f"bookings {report.bookings}: booked {report.booked}, unknown "
        f"{report.unknown}, not run {report.not_run}; "
        f"codes of failed attempts {report.booking_codes}"
    )
    for violation in report.broken:
        print(f"BROKEN: {violation}")


def main() -> None:
    """Runs the drill; exits with status 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds-between", type=float, default=6.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lagooncrank-drill-") as folder:
        report = asyncio.run(
            _run_in_folder(pathlib.Path(folder), arguments.seconds_between)
        )
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(dataclasses.asdict(report), indent=2) + "\n")
    _print_report(report)
    sys.exit(1 if report.broken else 0)


if __name__ == "__main__":
    main()
