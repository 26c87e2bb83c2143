"""Command line: `python -m soak --first 1 --seeds 50`."""

import asyncio
import pathlib
import tempfile

import typer

from soak import _run


def main(
    first: int = typer.Option(1, help="First seed."),
    seeds: int = typer.Option(1, help="Number of seeds."),
    duration_s: float = typer.Option(15.0, help="Time of faults, each seed."),
    entries: int = typer.Option(2, help="Entries."),
    engines: int = typer.Option(6, help="Engines."),
    at_once: int = typer.Option(1, help="Seeds that run side by side."),
) -> None:
    """Plays seeds; ends with 1 if any promise was broken."""
    setups = [
        _run.Setup(seed, duration_s, entries, engines)
        for seed in range(first, first + seeds)
    ]
    if not asyncio.run(_play_all(setups, at_once)):
        raise typer.Exit(1)


async def _play_all(setups: list[_run.Setup], at_once: int) -> bool:
    limit = asyncio.Semaphore(at_once)

    async def play(setup: _run.Setup) -> bool:
        async with limit:
            folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
            report = await _run.play(setup, folder)
        outcome = "BROKEN" if report.problems else "kept"
        typer.echo(
            f"seed {report.seed}: {outcome}, {report.served} served, version "
            f"{report.acknowledged}, statuses {report.statuses}, "
            f"logs in {folder}"
        )
        typer.echo(f"  faults: {' '.join(report.faults)}")
        for problem in report.problems:
            typer.echo(f"  {problem}")
        return not report.problems

    return all(await asyncio.gather(*(play(s) for s in setups)))


if __name__ == "__main__":
    typer.run(main)
