"""What the machine of a node allows it, and how that is divided."""

import dataclasses

MIB = 1 << 20
DEFAULT_MEMORY_BYTES = 512 * MIB
DEFAULT_DESCRIPTORS = 4096
RESTING_BYTES = 80 * MIB
"""A node with its libraries, rows and peers, before any caller."""
HELD_SHARE = 0.5
"""Of the memory beyond that; copies that are being made and gaps between
objects take the rest."""
MIN_HELD_BYTES = 4 * MIB
OTHER_DESCRIPTORS_SHARE = 0.5
"""For endpoints, other nodes, the store, readiness and files."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLimits:
    """The memory and the descriptors that a node's process may use."""

    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def held_bytes(self) -> int:
        """Return how much a node may hold for callers and endpoints."""
        share = (self.memory_bytes - RESTING_BYTES) * HELD_SHARE
        return max(MIN_HELD_BYTES, int(share))

    @property
    def caller_connections(self) -> int:
        """Return how many connections of callers a node keeps open."""
        return max(1, int(self.descriptors * (1 - OTHER_DESCRIPTORS_SHARE)))
