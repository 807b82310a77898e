"""The shared keys that nodes use to authenticate each other."""

import abc
import hashlib
import hmac
import pathlib

NONCE_BYTES = 32


class KeyRing(abc.ABC):
    """The keys that are currently valid."""

    @property
    @abc.abstractmethod
    def keys(self) -> tuple[bytes, ...]:
        """Return the currently valid keys."""

    def sign(self, text: bytes) -> tuple[bytes, ...]:
        """Return a signature with each key."""
        return tuple(
            hmac.digest(key, text, hashlib.sha256) for key in self.keys
        )

    def verify(self, text: bytes, signatures: tuple[bytes, ...]) -> bool:
        """Return whether any of the signatures was made with a valid key."""
        expected = self.sign(text)
        return any(
            hmac.compare_digest(ours, theirs)
            for ours in expected
            for theirs in signatures
        )


class SharedKey(KeyRing):
    """A single key, which all nodes read from the store."""

    def __init__(self, key: bytes) -> None:
        self._key = key

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Return the key."""
        return (self._key,)


class FileKeyRing(KeyRing):
    """The keys of a file, one per line, reloaded when the file changes.

    To rotate a key without downtime, add the new key on all nodes, then
    remove the old one.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._modified_ns = -1
        self._keys: tuple[bytes, ...] = ()

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Return the valid keys; on an error, the last ones read."""
        try:
            modified_ns = self._path.stat().st_mtime_ns
            if modified_ns != self._modified_ns:
                lines = self._path.read_bytes().splitlines()
                keys = tuple(line.strip() for line in lines if line.strip())
                if keys:
                    self._keys = keys
                    self._modified_ns = modified_ns
        except OSError:
            pass
        return self._keys
