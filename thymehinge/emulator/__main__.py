"""The command line: print every slope, or check them against the ranges that a page states."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from thymehinge.emulator import entries, hollow, real
from thymehinge.emulator.slopes import Measure, PageError, Slope, faults, stated

PAGE = Path("docs/CAPACITY.md")
PARTS: dict[str, Measure] = {"entries": entries.measure, "hollow": hollow.measure, "real": real.measure}


def run(small: bool, seed: int, parts: tuple[str, ...]) -> list[Slope]:
    """Measure the named parts, all where none is named, and print each slope as it comes."""
    slopes = []
    for part in parts or tuple(PARTS):
        began = time.monotonic()
        for slope in PARTS[part](small, seed):
            click.echo(f"{slope.name:34} {slope.value:14,.3f} {slope.unit:28} {slope.how}")
            slopes.append(slope)
        click.echo(f"{part}: {time.monotonic() - began:.0f} s", err=True)
    return slopes


@click.group()
def main() -> None:
    """Measure what a fleet of gateways costs: the real module and real gateways among stand-ins."""


seed_option = click.option("--seed", default=1, show_default=True, help="Seed of all that is drawn.")
parts_argument = click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))


@main.command()
@seed_option
@click.option("--small", is_flag=True, help="The sizes that check uses.")
@parts_argument
def slopes(seed: int, small: bool, parts: tuple[str, ...]) -> None:
    """Print every slope, or those of the named PARTS."""
    run(small, seed, parts)


@main.command()
@seed_option
@click.option("--page", default=PAGE, show_default=True, type=click.Path(path_type=Path), help="The page.")
def check(seed: int, page: Path) -> None:
    """Fail where a slope, measured at small sizes, leaves the range that the page states for it."""
    try:
        ranges = stated(page)
    except PageError as error:
        raise click.ClickException(str(error)) from None
    found = faults(run(True, seed, ()), ranges)
    for line in found:
        click.echo(line, err=True)
    click.echo(f"{len(ranges)} slopes, {len(found)} faults")
    sys.exit(bool(found))


if __name__ == "__main__":
    main(prog_name="python -m thymehinge.emulator")
