"""Checks the size limits of the decision module."""

from __future__ import annotations

from pathlib import Path

DECISIONS_MODULE = Path(__file__).parent.parent / "thymehinge" / "decisions.py"


def test_decisions_module_within_size_limits():
    lines = DECISIONS_MODULE.read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 1200
    assert max(map(len, lines)) <= 110
