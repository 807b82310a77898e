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
CALLERS_SHARE = 1 / 3
"""Of the descriptors.  Each caller may need one to an endpoint, too; the rest
is for other nodes, the store, readiness and files."""
TUNNELS_SHARE = 1 / 8
"""Of the descriptors: connections that are carried for other nodes, which
take two each."""


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
        return max(1, int(self.descriptors * CALLERS_SHARE))

    @property
    def carried_connections(self) -> int:
        """Return how many connections a node carries for other nodes."""
        return max(1, int(self.descriptors * TUNNELS_SHARE))
