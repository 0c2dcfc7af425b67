"""Slopes: the cost of one more server, customer, gateway or request, and the ranges documented for them."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured slope.

    Counts, bytes, and ratios of processor times within one run are checked against a range. Absolute times
    depend on the machine and are only printed.
    """

    name: str  # role.what.per, such as gateway.memory.server
    value: float
    unit: str  # such as "bytes a server"
    description: str  # what was measured, at which sizes
    checked: bool = True


Measurement = Callable[[bool, int], Iterator[Slope]]  # arguments: small sizes instead of full ones, seed

NUMBER_PATTERN = r"\d[\d,]*(?:\.\d+)?"
RANGE_ROW = re.compile(
    rf"^\| `([a-z0-9_.]+)` \|[^|]*\| ({NUMBER_PATTERN}) to ({NUMBER_PATTERN}) \|", re.MULTILINE
)


class PageError(Exception):
    """A page of ranges that is missing or invalid."""


def read_ranges(page: Path) -> dict[str, tuple[float, float]]:
    """Read the ranges that a Markdown page states, by slope name.

    Each range is a table row: the name in backquotes, the measured value, then `LOW to HIGH`. Raises
    PageError if the page can't be read, or states no range, an invalid one or two for the same slope.
    """
    try:
        text = page.read_text(encoding="utf-8")
    except OSError as error:
        raise PageError(f"{page}: {error.strerror or error}") from None
    ranges: dict[str, tuple[float, float]] = {}
    for name, *bounds in RANGE_ROW.findall(text):
        low, high = (float(bound.replace(",", "")) for bound in bounds)
        if name in ranges:
            raise PageError(f"{page}: {name} has two rows")
        if low > high:
            raise PageError(f"{page}: {name}: {low:g} to {high:g} is not a valid range")
        ranges[name] = low, high
    if not ranges:
        raise PageError(f"{page}: no row states a range")
    return ranges


def find_violations(slopes: list[Slope], ranges: dict[str, tuple[float, float]]) -> list[str]:
    """Describe each checked slope that is out of range or has none, and each range without a slope."""
    violations = []
    checked = [slope for slope in slopes if slope.checked]
    for slope in checked:
        if slope.name not in ranges:
            violations.append(f"{slope.name}: {slope.value:g} {slope.unit}, and the page states no range")
            continue
        low, high = ranges[slope.name]
        if not low <= slope.value <= high:
            violations.append(f"{slope.name}: {slope.value:g} {slope.unit} is not within {low:g} to {high:g}")
    missing = ranges.keys() - {slope.name for slope in checked}
    return sorted(
        violations + [f"{name}: the page states a range, and nothing was measured" for name in missing]
    )
