"""Hollow fleets: the real decision module, and real gateways, among stand-ins, to measure what a fleet costs.

`run` and `sim` never import this package. Its libraries are the extra `emulator` of pyproject.toml.
"""
