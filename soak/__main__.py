"""Command line: `python -m soak --first 1 --seeds 50`."""

import asyncio
import pathlib
import signal
import tempfile

import typer

from soak import _budget
from soak import _deployment
from soak import _run


def main(
    first: int = typer.Option(1, help="First seed."),
    seeds: int = typer.Option(1, help="Number of seeds."),
    duration_s: float = typer.Option(
        15.0, help="Seconds during which faults start, for each seed."
    ),
    entries: int = typer.Option(2, help="Number of entries."),
    engines: int = typer.Option(6, help="Number of engines."),
    kinds: str = typer.Option(
        "",
        help="Kinds of faults, separated by commas; all if empty; planned for "
        "planned work only.",
    ),
    production: str = typer.Option(
        "", help="Commit that all nodes start on, with upgrades from it."
    ),
    max_interval_s: float = typer.Option(
        _run.MAX_INTERVAL_S, help="Longest time between two faults."
    ),
    retry_extra: int = typer.Option(
        _budget.BINDING_RULES.extra,
        help="Repeats allowed beside a part of requests.",
    ),
    retry_ratio: float = typer.Option(
        _budget.BINDING_RULES.ratio,
        help="Repeats allowed for each request.",
    ),
    controls: int = typer.Option(
        _deployment.DEFAULT_CONTROLS, help="Number of control nodes."
    ),
    hush_s: tuple[float, float] = typer.Option(
        _deployment.HUSH_S, help="Shortest and longest silence of servers."
    ),
    callers: int = typer.Option(
        _deployment.CALLER_COUNT, help="Callers that send one after the other."
    ),
    at_once: int = typer.Option(1, help="Number of seeds to run in parallel."),
) -> None:
    """Runs seeds; exits with status 1 if any guarantee was violated."""
    configs = [
        _run.SeedConfig(
            seed,
            duration_s,
            entries,
            engines,
            tuple(k for k in kinds.split(",") if k),
            production,
            max_interval_s,
            _budget.BudgetRules(ratio=retry_ratio, extra=retry_extra),
            controls,
            hush_s,
            callers,
        )
        for seed in range(first, first + seeds)
    ]
    if not asyncio.run(_run_all(configs, at_once)):
        raise typer.Exit(1)


async def _run_all(configs: list[_run.SeedConfig], at_once: int) -> bool:
    limit = asyncio.Semaphore(at_once)
    # An early end stops the nodes, too.
    task = asyncio.current_task()
    assert task is not None
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(
            signal_number, task.cancel
        )

    async def run(config: _run.SeedConfig) -> bool:
        async with limit:
            folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
            report = await _run.run_seed(config, folder)
        outcome = "BROKEN" if report.violations else "kept"
        typer.echo(
            f"seed {report.seed}: {outcome}, {report.served} served, version "
            f"{report.acknowledged}, statuses {report.statuses}, "
            f"logs in {folder}"
        )
        typer.echo(f"  while entries were cut off: {report.cuts}")
        typer.echo(f"  seen: {report.seen}")
        typer.echo(f"  builds at the end: {report.builds}")
        typer.echo(f"  faults: {' '.join(report.faults)}")
        for violation in report.violations:
            typer.echo(f"  {violation}")
        return not report.violations

    return all(await asyncio.gather(*(run(c) for c in configs)))


if __name__ == "__main__":
    typer.run(main)
