"""Conversion of a deployment's store rows to the gateway's types."""

import abc
import dataclasses

from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import versions
from fireflypulley.platform import base


class InvalidRow(ValueError):
    """Raised for an invalid row; the message gives place and reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationEntry:
    """A configuration to apply."""

    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationEntry:
    """Start or end of the evacuation of a failure domain.

    While it is active, the endpoints of the domain get no requests.
    """

    failure_domain: str
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutEntry:
    """An order to move a service to a version.

    ``target`` is None if the order has been withdrawn.
    """

    service: str
    target: str | None
    duration_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The phase of a rollout as published for operators."""

    service: str
    target: str
    phase: versions.Phase


OperatorEntry = ConfigurationEntry | EvacuationEntry | RolloutEntry


class RowCodec(abc.ABC):
    """Decodes rows of operators and endpoints, and encodes status rows."""

    @property
    @abc.abstractmethod
    def operator_table(self) -> str:
        """Return the name of the table that operators write."""

    @property
    @abc.abstractmethod
    def endpoint_table(self) -> str:
        """Return the name of the table in which endpoints register."""

    @property
    @abc.abstractmethod
    def status_table(self) -> str:
        """Return the name of the table that operators read."""

    @abc.abstractmethod
    def decode_rollout_status(
        self, row: rows.FollowedRow
    ) -> RolloutStatus | None:
        """Decode a row of the status table.

        Return None for a row that is not about a rollout; raise
        ``InvalidRow`` if it is invalid.
        """

    @abc.abstractmethod
    def decode_operator_row(
        self, row: rows.FollowedRow
    ) -> OperatorEntry | None:
        """Decode a row that operators wrote.

        Return None for a row that the gateway does not use; raise
        ``InvalidRow`` if it is invalid.
        """

    @abc.abstractmethod
    def decode_registration(self, row: rows.FollowedRow) -> fleet.Registration:
        """Decode an endpoint's row; raise ``InvalidRow`` if it is invalid."""

    @abc.abstractmethod
    def encode_rollout_status(
        self, service: str, target: str, phase: versions.Phase
    ) -> base.RowWrite:
        """Return the row that publishes the phase of a rollout."""
