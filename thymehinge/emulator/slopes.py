"""Slopes: what one more server, customer, gateway or request costs, and the ranges that a page states."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured slope.

    Counts, bytes, and ratios of processor times within one run are checked. A time tells of the machine as
    well, so it is only printed.
    """

    name: str  # role.what.per, such as gateway.memory.server
    value: float
    unit: str  # such as "bytes a server"
    how: str  # what was measured, at which sizes
    checked: bool = True


Measure = Callable[[bool, int], Iterator[Slope]]  # at small sizes or in full, from a seed

NUMBER = r"\d[\d,]*(?:\.\d+)?"
ROW = re.compile(rf"^\| `([a-z0-9_.]+)` \|[^|]*\| ({NUMBER}) to ({NUMBER}) \|", re.MULTILINE)


class PageError(Exception):
    """A page whose ranges can't be used; the text tells why."""


def stated(page: Path) -> dict[str, tuple[float, float]]:
    """The ranges that a page states, by the names of their slopes.

    Each stands in a table row of its own: the name in backquotes, the figure measured, then `LOW to HIGH`.
    """
    try:
        text = page.read_text(encoding="utf-8")
    except OSError as error:
        raise PageError(f"{page}: {error.strerror or error}") from None
    ranges: dict[str, tuple[float, float]] = {}
    for name, *bounds in ROW.findall(text):
        low, high = (float(bound.replace(",", "")) for bound in bounds)
        if name in ranges:
            raise PageError(f"{page}: {name} has two rows")
        if low > high:
            raise PageError(f"{page}: {name}: {low:g} to {high:g} is no range")
        ranges[name] = low, high
    if not ranges:
        raise PageError(f"{page}: no row states a range")
    return ranges


def faults(slopes: list[Slope], ranges: dict[str, tuple[float, float]]) -> list[str]:
    """What is wrong between measured slopes and stated ranges, a line each; none where all is well."""
    found = []
    checked = [slope for slope in slopes if slope.checked]
    for slope in checked:
        if slope.name not in ranges:
            found.append(f"{slope.name}: {slope.value:g} {slope.unit}, and the page states no range")
            continue
        low, high = ranges[slope.name]
        if not low <= slope.value <= high:
            found.append(f"{slope.name}: {slope.value:g} {slope.unit} is not within {low:g} to {high:g}")
    missing = ranges.keys() - {slope.name for slope in checked}
    return sorted(found + [f"{name}: the page states a range, and nothing was measured" for name in missing])
