"""Tests of the emulator's ranges of slopes and of its command line."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from thymehinge.emulator import __main__ as program
from thymehinge.emulator.slopes import PageError, Slope, find_violations, read_ranges

PAGE_HEADER = "| slope | measured | range | what |\n| --- | --- | --- | --- |\n"


def write_page(path, *rows: str):
    path.write_text(PAGE_HEADER + "\n".join(rows) + "\n")
    return path


def test_read_ranges_returns_ranges_by_name(tmp_path):
    path = write_page(
        tmp_path / "page.md", "| `a.b` | 1,234 | 1,200 to 1,300 | bytes |", "| `c.d` | 0.5 | 0 to 0.75 | x |"
    )
    assert read_ranges(path) == {"a.b": (1200.0, 1300.0), "c.d": (0.0, 0.75)}


@pytest.mark.parametrize(
    ("rows", "message"),
    [
        ([], "no row"),
        (["| `a` | 1 | 2 to 1 | x |"], "not a valid range"),
        (["| `a` | 1 | 0 to 1 | x |", "| `a` | 1 | 0 to 2 | x |"], "two rows"),
    ],
)
def test_invalid_page_raises(tmp_path, rows, message):
    with pytest.raises(PageError, match=message):
        read_ranges(write_page(tmp_path / "page.md", *rows))
    with pytest.raises(PageError, match="No such file"):
        read_ranges(tmp_path / "missing.md")


def test_violations_cover_unstated_out_of_range_and_unmeasured_slopes():
    ranges = {"in": (1.0, 2.0), "over": (1.0, 2.0), "unmeasured": (1.0, 2.0)}
    unchecked = Slope("time.x", 9.0, "s", "", checked=False)
    slopes = [Slope("in", 1.0, "x", ""), Slope("over", 2.1, "x", ""), Slope("new", 1.0, "x", ""), unchecked]
    violations = find_violations(slopes, ranges)
    assert [line.split(":")[0] for line in violations] == ["new", "over", "unmeasured"]


@pytest.mark.parametrize(("value", "exit_code"), [(1.0, 0), (3.0, 1)])
def test_check_fails_if_slope_is_out_of_range(tmp_path, monkeypatch, value, exit_code):
    monkeypatch.setattr(program, "SUITES", {"one": lambda small, seed: iter([Slope("a", value, "x", "")])})
    path = write_page(tmp_path / "page.md", "| `a` | 1 | 0.5 to 2 | x |")
    result = CliRunner().invoke(program.main, ["check", "--page", str(path)])
    assert result.exit_code == exit_code and f"1 slopes, {exit_code} violations" in result.output
