"""The shared keys by which nodes prove themselves to each other."""

import abc
import hashlib
import hmac
import pathlib

NONCE_BYTES = 32


class KeyRing(abc.ABC):
    """The keys in force."""

    @property
    @abc.abstractmethod
    def keys(self) -> tuple[bytes, ...]:
        """Return the keys in force."""

    def sign(self, text: bytes) -> tuple[bytes, ...]:
        """Return one signature for each key."""
        return tuple(
            hmac.digest(key, text, hashlib.sha256) for key in self.keys
        )

    def verify(self, text: bytes, signatures: tuple[bytes, ...]) -> bool:
        """Return whether any signature fits any key."""
        expected = self.sign(text)
        return any(
            hmac.compare_digest(ours, theirs)
            for ours in expected
            for theirs in signatures
        )


class SharedKey(KeyRing):
    """One key that all nodes have read from the store."""

    def __init__(self, key: bytes) -> None:
        self._key = key

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Return the one key."""
        return (self._key,)


class FileKeyRing(KeyRing):
    """The keys of a file, one a line, read anew when it changes.

    A key is changed without a stop by adding the new one on all nodes,
    then taking the old one away.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._modified_ns = -1
        self._keys: tuple[bytes, ...] = ()

    @property
    def keys(self) -> tuple[bytes, ...]:
        """Return the keys in force; the last good ones on an error."""
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
