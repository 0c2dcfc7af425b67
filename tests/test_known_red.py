"""Checks the form of KNOWN-RED.txt, which lets listed tests fail without failing the suite."""

from __future__ import annotations

import pytest
from known_red import KnownRedError, check_collected, parse_entry

DRAIN_TEST = "tests/test_drain.py::test_drain_answers_pipelined_commands"


def test_complete_entries_are_read():
    entry = parse_entry(f"{DRAIN_TEST} | pytest, seed 7 | BUSY 1000 | issue 34")
    assert (entry.test, entry.issue, entry.is_script) == (DRAIN_TEST, "issue 34", False)
    assert parse_entry("tests/crossing_clients.py | --seed 1 | a late answer | issue 34").is_script


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (f"{DRAIN_TEST} | seed 7 | issue 34", "expected"),
        (f"{DRAIN_TEST} | | BUSY 1000 | issue 34", "expected"),
        (f"{DRAIN_TEST} | seed 7 | BUSY | 1000 | issue 34", "expected"),
        (f"{DRAIN_TEST} | seed 7 | BUSY 1000 | some day", "no issue"),
        ("tests/test_soak.py | seed 115 | late | issue 34", "whole file"),
        ("tests/test_soak.py::test_nothing | seed 115 | late | issue 34", "no such test"),
        ("review/9/run.sh | no seed | exit code 1 | issue 34", "no such file"),
    ],
)
def test_incomplete_and_unknown_entries_are_refused(line, reason):
    """Guards against entries that hide more than the one case that failed, or nothing at all."""
    with pytest.raises(KnownRedError, match=reason):
        parse_entry(line)


def test_entry_of_unknown_case_is_refused():
    entry = parse_entry(
        "tests/test_soak.py::test_random_faults_violate_no_terms[9] | seed 9 | late | issue 34"
    )
    cases = [f"tests/test_soak.py::test_random_faults_violate_no_terms[{seed}]" for seed in (101, 115)]
    with pytest.raises(KnownRedError, match="none of 2 cases"):
        check_collected(entry, cases)
    check_collected(entry, [*cases, entry.test])
    check_collected(entry, [])
