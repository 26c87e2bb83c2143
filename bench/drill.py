"""Failure drill: real processes on loopback, killed, frozen and restarted.

Three daemons, nine stand-in engines in three fabric domains and a booking
service take drafts and bookings while faults strike one after another. At the
end the callers' stories are compared with what the service counted.

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
DRAFT_TASKS = 8
BOOKING_TASKS = 4
BOOKING_PAUSE_S = 0.05
FREEZE_S = 6.0

_CODE_NAMES = {code.value: code.name for code in results.ResultCode}

#: Strikes a site and returns once the struck process is back.
Fault = Callable[[_drill_cluster.DrillCluster], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("fault")


@FAULTS.register("1_kill_leader")
async def _kill_leader(cluster: _drill_cluster.DrillCluster) -> None:
    name = await cluster.leader()
    cluster.signal(name, signal.SIGKILL)
    await cluster.ended(name)
    await asyncio.sleep(FREEZE_S)
    await cluster.restart(name)


@FAULTS.register("2_freeze_leader")
async def _freeze_leader(cluster: _drill_cluster.DrillCluster) -> None:
    await _freeze(cluster, await cluster.leader())


@FAULTS.register("3_kill_engine")
async def _kill_engine(cluster: _drill_cluster.DrillCluster) -> None:
    cluster.signal("engine-0-0", signal.SIGKILL)
    await cluster.ended("engine-0-0")
    await asyncio.sleep(FREEZE_S)
    await cluster.restart("engine-0-0")


@FAULTS.register("4_freeze_engine")
async def _freeze_engine(cluster: _drill_cluster.DrillCluster) -> None:
    await _freeze(cluster, "engine-1-0")


@FAULTS.register("5_freeze_fabric_domain")
async def _freeze_fabric_domain(cluster: _drill_cluster.DrillCluster) -> None:
    names = [f"engine-2-{member}" for member in range(3)]
    await asyncio.gather(*(_freeze(cluster, name) for name in names))


@FAULTS.register("6_freeze_booking_service")
async def _freeze_booking(cluster: _drill_cluster.DrillCluster) -> None:
    await _freeze(cluster, "booking")


@FAULTS.register("7_planned_stop_of_an_entry")
async def _planned_stop(cluster: _drill_cluster.DrillCluster) -> None:
    cluster.signal("n2", signal.SIGTERM)
    status = await cluster.ended("n2")
    if status != 0:
        raise DrillError(f"n2 stopped with status {status}, not 0")
    await cluster.restart("n2")


@FAULTS.register("8_kill_two_entries")
async def _kill_two(cluster: _drill_cluster.DrillCluster) -> None:
    for name in ("n1", "n3"):
        cluster.signal(name, signal.SIGKILL)
        await cluster.ended(name)
    await asyncio.sleep(FREEZE_S)
    for name in ("n1", "n3"):
        await cluster.restart(name)


async def _freeze(cluster: _drill_cluster.DrillCluster, name: str) -> None:
    cluster.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    cluster.signal(name, signal.SIGCONT)


class DrillError(Exception):
    """A promise was broken during the drill."""


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """One fault and the time until the next."""

    fault: str
    start_ms: int
    end_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeriodRow:
    """Drafts that ended in one period, by how they ended."""

    fault: str
    ends: dict[str, int]
    codes: dict[str, int]
    #: Longest time from request to end of a whole draft.
    longest_whole_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What the drill found."""

    rows: list[PeriodRow]
    bookings: int
    booked: int
    unknown: int
    not_run: int
    booking_codes: dict[str, int]
    broken: list[str]


async def _run(folder: pathlib.Path, pause_s: float) -> Report:
    timeout = aiohttp.ClientTimeout(total=None)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        cluster = _drill_cluster.DrillCluster(folder, session)
        try:
            return await _drill(cluster, session, pause_s)
        except Exception:
            for name in ("n1", "n2", "n3"):
                print(f"--- {name}\n{cluster.log_tail(name)}", file=sys.stderr)
            raise
        finally:
            await cluster.stop_all()


async def _drill(
    cluster: _drill_cluster.DrillCluster,
    session: aiohttp.ClientSession,
    pause_s: float,
) -> Report:
    await cluster.start_all()
    callers = _drill_callers.Callers(cluster, session)
    tasks = [
        asyncio.ensure_future(callers.send_drafts(seed))
        for seed in range(DRAFT_TASKS)
    ]
    tasks += [
        asyncio.ensure_future(callers.send_bookings(seed, BOOKING_PAUSE_S))
        for seed in range(BOOKING_TASKS)
    ]
    periods = await _strike(cluster, pause_s)
    callers.stop()
    await asyncio.gather(*tasks)
    return await _report(cluster, callers, periods)


async def _strike(
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


async def _report(
    cluster: _drill_cluster.DrillCluster,
    callers: _drill_callers.Callers,
    periods: list[Period],
) -> Report:
    runs = await cluster.runs()
    revisions = await cluster.revisions()
    bookings = callers.bookings
    settled = collections.Counter(
        "booked" if b.booked else b.last_ran.value for b in bookings
    )
    codes = collections.Counter(
        _CODE_NAMES[code] for b in bookings for code in b.codes
    )
    return Report(
        rows=[_row(period, callers.drafts) for period in periods],
        bookings=len(bookings),
        booked=settled["booked"],
        unknown=settled[results.ExecutionStatus.UNKNOWN.value],
        not_run=settled[results.ExecutionStatus.NOT_RUN.value],
        booking_codes=dict(sorted(codes.items())),
        broken=[
            *_broken_bookings(bookings, runs),
            *_broken_drafts(callers.drafts, periods),
            *([] if revisions == [1, 1, 1] else [f"revisions {revisions}"]),
        ],
    )


def _row(period: Period, drafts: list[_drill_callers.Draft]) -> PeriodRow:
    mine = [d for d in drafts if period.start_ms <= d.end_ms < period.end_ms]
    ends = collections.Counter(d.end.value for d in mine)
    codes = collections.Counter(_CODE_NAMES[d.code] for d in mine if d.code)
    whole = _drill_callers.DraftEnd.WHOLE
    longest_ms = max(
        (d.end_ms - d.start_ms for d in mine if d.end is whole), default=0
    )
    return PeriodRow(period.fault, dict(ends), dict(codes), longest_ms)


def _broken_bookings(
    bookings: list[_drill_callers.Booking], runs: dict[str, int]
) -> list[str]:
    broken = []
    for booking in bookings:
        count = runs.get(booking.key, 0)
        if count > 1:
            broken.append(f"{booking.key} ran {count} times")
        if booking.booked and count != 1:
            broken.append(f"{booking.key} was booked but ran {count} times")
        told_not_run = not booking.booked and booking.surely_not_run
        if told_not_run and count:
            broken.append(f"{booking.key} was told as not run but ran")
    return broken


def _broken_drafts(
    drafts: list[_drill_callers.Draft], periods: list[Period]
) -> list[str]:
    wrong = [d for d in drafts if d.end is _drill_callers.DraftEnd.WRONG]
    broken = [f"draft at {d.start_ms} ms has a gap or repeat" for d in wrong]
    for period in periods:
        if period.fault not in ("0_none", "7_planned_stop_of_an_entry"):
            continue
        broken += [
            f"draft at {d.start_ms} ms ended {d.end} during {period.fault}"
            for d in drafts
            if period.start_ms <= d.start_ms
            and d.end_ms < period.end_ms
            and d.end is not _drill_callers.DraftEnd.WHOLE
        ]
    return broken


def _print(report: Report) -> None:
    ends = [end.value for end in _drill_callers.DraftEnd]
    print(f"| fault | {' | '.join(ends)} | longest ms | codes |")
    print("| --- |" + " --- |" * (len(ends) + 2))
    for row in report.rows:
        cells = " | ".join(str(row.ends.get(end, 0)) for end in ends)
        codes = ", ".join(f"{k} {v}" for k, v in sorted(row.codes.items()))
        print(f"| {row.fault} | {cells} | {row.longest_whole_ms} | {codes} |")
    print(
        f"bookings {report.bookings}: booked {report.booked}, unknown "
        f"{report.unknown}, not run {report.not_run}; "
        f"codes on the way {report.booking_codes}"
    )
    for line in report.broken:
        print(f"BROKEN: {line}")


def main() -> None:
    """Runs the drill; exits with 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds-between", type=float, default=6.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="lagooncrank-drill-") as folder:
        report = asyncio.run(
            _run(pathlib.Path(folder), arguments.seconds_between)
        )
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(dataclasses.asdict(report), indent=2) + "\n")
    _print(report)
    sys.exit(1 if report.broken else 0)


if __name__ == "__main__":
    main()
