"""A bounded table of the records that a gateway keeps for customers, such as their quotas."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

MAX_CUSTOMERS = 16_384  # records in one table
MAX_EVICTION_STEPS = 16  # records that are looked at to find one that may be dropped


class CustomerRecord(Protocol):
    """The part of a record that the table depends on."""

    key: int  # the customer

    def is_in_use(self) -> bool:
        """Return whether requests of the customer are under way."""


Record = TypeVar("Record", bound=CustomerRecord)


class CustomerTable(dict[int, Record], Generic[Record]):
    """Records by customer, the least recently used first."""

    def use(self, key: int) -> Record | None:
        """Return a customer's record, if there is one, and mark it as the most recently used."""
        record = self.pop(key, None)
        if record is not None:
            self[key] = record
        return record

    def insert(self, record: Record) -> Record | None:
        """Add a record; return the least recently used one, which is dropped, if the table was full.

        Records in use are kept, unless the first MAX_EVICTION_STEPS all are.
        """
        self.pop(record.key, None)
        evicted = self.evict() if len(self) >= MAX_CUSTOMERS else None
        self[record.key] = record
        return evicted

    def evict(self) -> Record:
        """Remove the least recently used record that is not in use, and return it."""
        for _ in range(MAX_EVICTION_STEPS):
            oldest = self.pop(next(iter(self)))
            if not oldest.is_in_use():
                return oldest
            self[oldest.key] = oldest
        return self.pop(next(iter(self)))
