"""What a deployment's rows mean, as types of the product."""

import abc
import dataclasses

from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import versions
from fireflypulley.platform import base


class InvalidRow(ValueError):
    """A row that can't be read; says where and why."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationEntry:
    """The configuration that is to be in force."""

    document: document.Document


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationEntry:
    """A failure domain whose endpoints are to get nothing, or again."""

    failure_domain: str
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutEntry:
    """An order to move a service to a version, None when taken back."""

    service: str
    target: str | None
    duration_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What operators were told of a rollout."""

    service: str
    target: str
    phase: versions.Phase


OperatorEntry = ConfigurationEntry | EvacuationEntry | RolloutEntry


class RowCodec(abc.ABC):
    """Reads the rows of operators and endpoints."""

    @property
    @abc.abstractmethod
    def operator_table(self) -> str:
        """Return the table that operators write."""

    @property
    @abc.abstractmethod
    def endpoint_table(self) -> str:
        """Return the table in which endpoints register."""

    @property
    @abc.abstractmethod
    def status_table(self) -> str:
        """Return the table that operators read."""

    @abc.abstractmethod
    def decode_rollout_status(
        self, row: rows.FollowedRow
    ) -> RolloutStatus | None:
        """Return what a row of the status table tells of a rollout.

        None for a row of no concern; raises ``InvalidRow``.
        """

    @abc.abstractmethod
    def decode_operator_row(
        self, row: rows.FollowedRow
    ) -> OperatorEntry | None:
        """Return what a row says, None for one of no concern.

        Raises ``InvalidRow``.
        """

    @abc.abstractmethod
    def decode_registration(self, row: rows.FollowedRow) -> fleet.Registration:
        """Return an endpoint's entry; raises ``InvalidRow``."""

    @abc.abstractmethod
    def encode_rollout_status(
        self, service: str, target: str, phase: versions.Phase
    ) -> base.RowWrite:
        """Return the row that tells operators how far a rollout is."""
