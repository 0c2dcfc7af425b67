"""Emulated fleets that measure what a fleet of gateways costs.

Simulated (hollow) fleets run the real decision module on one clock; gateway processes run against a fake
discovery service.
`run` and `sim` never import this package. Its dependencies are the extra `emulator` of pyproject.toml.
"""
