"""Command line of the emulator: print the slopes, or check them against the ranges of a page."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from thymehinge.emulator import entries, hollow, real
from thymehinge.emulator.slopes import Measurement, PageError, Slope, find_violations, read_ranges

DEFAULT_PAGE = Path("docs/CAPACITY.md")
SUITES: dict[str, Measurement] = {
    "entries": entries.measure,
    "hollow": hollow.measure,
    "real": real.measure,
}


def run_suites(small: bool, seed: int, suites: tuple[str, ...]) -> list[Slope]:
    """Run the named suites, or all if none is named; print and return the slopes."""
    slopes = []
    for suite in suites or tuple(SUITES):
        started_at = time.monotonic()
        for slope in SUITES[suite](small, seed):
            click.echo(f"{slope.name:34} {slope.value:14,.3f} {slope.unit:28} {slope.description}")
            slopes.append(slope)
        click.echo(f"{suite}: {time.monotonic() - started_at:.0f} s", err=True)
    return slopes


@click.group()
def main() -> None:
    """Measure what a fleet of gateways costs, in simulated fleets and with real gateway processes."""


seed_option = click.option("--seed", default=1, show_default=True, help="Seed of the random generators.")
suites_argument = click.argument("suites", nargs=-1, type=click.Choice(list(SUITES)))


@main.command()
@seed_option
@click.option("--small", is_flag=True, help="Measure at the small sizes that check uses.")
@suites_argument
def slopes(seed: int, small: bool, suites: tuple[str, ...]) -> None:
    """Print the slopes of the named SUITES, or of all."""
    run_suites(small, seed, suites)


@main.command()
@seed_option
@click.option(
    "--page",
    default=DEFAULT_PAGE,
    show_default=True,
    type=click.Path(path_type=Path),
    help="Markdown page that states the ranges.",
)
def check(seed: int, page: Path) -> None:
    """Fail if a slope, measured at small sizes, is out of the range that the page states."""
    try:
        ranges = read_ranges(page)
    except PageError as error:
        raise click.ClickException(str(error)) from None
    violations = find_violations(run_suites(True, seed, ()), ranges)
    for line in violations:
        click.echo(line, err=True)
    click.echo(f"{len(ranges)} slopes, {len(violations)} violations")
    sys.exit(bool(violations))


if __name__ == "__main__":
    main(prog_name="python -m thymehinge.emulator")
