"""Emulator that measures the resource costs of a fleet of gateways.

Simulated (hollow) fleets run the real decision module on a simulated clock; real gateway processes run
against a fake discovery service. The gateway and the adapter do not import this package. Its dependencies are
the extra `emulator` of pyproject.toml.
"""
