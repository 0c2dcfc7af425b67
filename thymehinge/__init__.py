"""Request scheduling and quota enforcement for a gateway in front of a shared service."""

from thymehinge.decisions import Gateway
from thymehinge.interface import Settings

__all__ = ["Gateway", "Settings"]
