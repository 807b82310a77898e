"""What a process uses while a crowd is at it."""

import os
import pathlib

KB_PER_MB = 1024


class Watch:
    """Compares what a node uses with what its settings allow."""

    def __init__(self, node, limits):
        self.node = node
        self._limits = limits
        self._folder = pathlib.Path(f"/proc/{node.popen.pid}")
        self._memory_mb = 0.0
        self._descriptors = 0

    def sample(self):
        """Note what the node uses now, and the most memory it had."""
        if not self.node.alive:
            return
        status = (self._folder / "status").read_text()
        peak = next(ln for ln in status.splitlines() if "VmHWM" in ln)
        self._memory_mb = int(peak.split()[1]) / KB_PER_MB
        descriptors = len(os.listdir(self._folder / "fd"))
        self._descriptors = max(self._descriptors, descriptors)

    def __str__(self):
        return (
            f"{self.node.name}: {self._memory_mb:.0f} MB,"
            f" {self._descriptors} descriptors"
        )

    def problems(self):
        """Return in what the node is beyond its settings."""
        found = []
        if not self.node.alive:
            found.append(f"{self}: ended")
        if self._memory_mb > self._limits["memory-mb"]:
            found.append(f"{self}: memory")
        if self._descriptors > self._limits["max-fds"]:
            found.append(f"{self}: descriptors")
        return found
