"""The emulator: its slopes against the ranges that a page states, and its command line."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from thymehinge.emulator import __main__ as program
from thymehinge.emulator.slopes import PageError, Slope, faults, stated

PAGE = "| slope | measured | range | what |\n| --- | --- | --- | --- |\n"


def page(path, *rows: str):
    path.write_text(PAGE + "\n".join(rows) + "\n")
    return path


def test_a_page_states_ranges_by_name(tmp_path):
    path = page(
        tmp_path / "page.md", "| `a.b` | 1,234 | 1,200 to 1,300 | bytes |", "| `c.d` | 0.5 | 0 to 0.75 | x |"
    )
    assert stated(path) == {"a.b": (1200.0, 1300.0), "c.d": (0.0, 0.75)}


@pytest.mark.parametrize(
    ("rows", "says"),
    [
        ([], "no row"),
        (["| `a` | 1 | 2 to 1 | x |"], "no range"),
        (["| `a` | 1 | 0 to 1 | x |", "| `a` | 1 | 0 to 2 | x |"], "two rows"),
    ],
)
def test_a_page_that_makes_no_sense_is_an_error(tmp_path, rows, says):
    with pytest.raises(PageError, match=says):
        stated(page(tmp_path / "page.md", *rows))
    with pytest.raises(PageError, match="No such file"):
        stated(tmp_path / "missing.md")


def test_slopes_and_page_are_held_against_each_other_both_ways():
    ranges = {"in": (1.0, 2.0), "over": (1.0, 2.0), "unmeasured": (1.0, 2.0)}
    time = Slope("time.x", 9.0, "s", "", checked=False)
    slopes = [Slope("in", 1.0, "x", ""), Slope("over", 2.1, "x", ""), Slope("new", 1.0, "x", ""), time]
    found = faults(slopes, ranges)
    assert [line.split(":")[0] for line in found] == ["new", "over", "unmeasured"]


@pytest.mark.parametrize(("value", "code"), [(1.0, 0), (3.0, 1)])
def test_check_fails_where_a_slope_leaves_its_range(tmp_path, monkeypatch, value, code):
    monkeypatch.setattr(program, "PARTS", {"one": lambda small, seed: iter([Slope("a", value, "x", "")])})
    path = page(tmp_path / "page.md", "| `a` | 1 | 0.5 to 2 | x |")
    result = CliRunner().invoke(program.main, ["check", "--page", str(path)])
    assert result.exit_code == code and f"1 slopes, {code} faults" in result.output
