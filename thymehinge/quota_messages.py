"""The datagrams in which gateways request units of customers' quotas from each other."""

from __future__ import annotations

import struct
import zlib

# Enforced, a lower limit would serialise the requests of one gateway and still not bound a large fleet.
ADMISSION_LIMIT = 4.0  # concurrency limit below which requests are admitted at random instead

QuotaEntry = tuple[int, int, int, int, float, float, float]  # kind, tag, customer, plan, units, wait, fill


class QuotaCodec:
    """Encodes and decodes the datagrams between gateways.

    A datagram holds magic bytes, the sender's concurrency limit, up to MAX_ENTRIES entries and a CRC-32.
    REQUEST asks a customer's owner for units. GRANT, GRANT_OVERAGE (beyond the quota), DENY and QUEUED (waits
    for a slot) answer it. SETTLE corrects the units charged and releases the slot. USED_UNGRANTED reports
    units that were used without an answer.
    """

    ENTRY_FORMAT, MAGIC, UNIT_SCALE, MAX_ENTRIES = struct.Struct(">BHBIBhHB"), b"T2", 16, 15
    REQUEST, GRANT, GRANT_OVERAGE, DENY, SETTLE, USED_UNGRANTED, QUEUED = range(7)

    @classmethod
    def pack_entry(
        cls, kind: int, tag: int, key: int, plan_index: int, units: float, wait: float, fill: float
    ) -> bytes:
        """Encode one entry; `wait` is in seconds, `fill` from 0 to 1. Values out of range are clamped."""
        scaled_units = max(-(2**15), min(2**15 - 1, round(units * cls.UNIT_SCALE)))
        wait, fill = min(2**16 - 1, round(wait * 1000)), round(255 * min(1.0, max(0.0, fill)))
        return cls.ENTRY_FORMAT.pack(
            kind, tag, key >> 32 & 255, key & 0xFFFFFFFF, plan_index & 255, scaled_units, wait, fill
        )

    @classmethod
    def encode(cls, limit: float, entries: list[bytes]) -> bytes:
        """Encode a datagram with the concurrency limit of this gateway and packed entries."""
        body = cls.MAGIC + bytes([round(255 * min(1.0, limit / ADMISSION_LIMIT))]) + b"".join(entries)
        return body + struct.pack(">I", zlib.crc32(body))

    @classmethod
    def decode(cls, body: bytes) -> tuple[float, list[QuotaEntry]] | None:
        """Decode the sender's concurrency limit and the entries; return None for a malformed datagram."""
        well_formed = (
            len(body) >= 7 and (len(body) - 7) % cls.ENTRY_FORMAT.size == 0 and body[:2] == cls.MAGIC
        )
        if not well_formed or body[-4:] != struct.pack(">I", zlib.crc32(body[:-4])):
            return None
        entries = [
            (kind, tag, high << 32 | low, plan_index, units / cls.UNIT_SCALE, wait / 1000, fill / 255)
            for kind, tag, high, low, plan_index, units, wait, fill in cls.ENTRY_FORMAT.iter_unpack(
                body[3:-4]
            )
        ]
        return body[2] / 255 * ADMISSION_LIMIT, entries
