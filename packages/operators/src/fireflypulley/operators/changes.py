"""Computes the rows to write for a change by an operator.

A change of the version of a service in a workspace starts a rollout in
the same transaction.  The target of a running rollout cannot be changed.
"""

import dataclasses

from fireflypulley.core import configuration
from fireflypulley.operators import templates

_KIND = configuration.EntryKind


class Rejected(ValueError):
    """The change is not possible now; the message says why."""


class NotFound(Rejected):
    """The object to change does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The operation that makes a change, and its Unix time."""

    operation_id: str
    now_s: float


class Planner:
    """Computes changes to a given configuration."""

    def __init__(
        self, config: configuration.Configuration, origin: Origin
    ) -> None:
        self._config = config
        self._origin = origin

    def _entry(
        self,
        kind: configuration.EntryKind,
        name: str,
        body: configuration.Body,
    ) -> configuration.Entry:
        known = self._config.get(kind, name)
        version = 0 if known is None else known.version
        return configuration.Entry(
            kind, name, version, self._origin.operation_id, body
        )

    def template(
        self, template: templates.TemplateFile
    ) -> tuple[configuration.Entry, ...]:
        """Return the rows for a template and all workspaces that use it.

        Raises ``findings.InvalidInput`` and ``Rejected``.
        """
        body = configuration.Template(template.text)
        entries = [self._entry(_KIND.TEMPLATE, template.name, body)]
        for entry in self._config.of_kind(_KIND.WORKSPACE):
            known = entry.body
            if not isinstance(known, configuration.Workspace):
                continue
            if known.template != template.name:
                continue
            file = templates.WorkspaceFile(
                entry.name,
                known.template,
                known.token_sha256,
                dict(known.parameters),
            )
            rendered = templates.render(template.text, file)
            entries += self._workspace(entry.name, rendered)
        return tuple(entries)

    def workspace(
        self, file: templates.WorkspaceFile
    ) -> tuple[configuration.Entry, ...]:
        """Return the rows for a workspace; raises like ``template``."""
        template = self._config.get(_KIND.TEMPLATE, file.template)
        if template is None:
            raise NotFound(f"no template {file.template!r}")
        assert isinstance(template.body, configuration.Template)
        rendered = templates.render(template.body.text, file)
        self._check_tokens(file)
        return tuple(self._workspace(file.name, rendered))

    def _check_tokens(self, file: templates.WorkspaceFile) -> None:
        for token in file.token_sha256:
            other = self._config.workspace_of_token(token)
            if other is not None and other != file.name:
                raise Rejected(
                    f"a token of {file.name!r} belongs to {other!r}"
                )

    def _workspace(
        self, name: str, rendered: configuration.Workspace
    ) -> list[configuration.Entry]:
        entries = [self._entry(_KIND.WORKSPACE, name, rendered)]
        known = self._config.workspace(name)
        for service in rendered.services:
            current = known.service(service.name) if known else None
            if current is None or current.version == service.version:
                continue
            entries.append(self._rollout(name, current, service))
        return entries

    def _rollout(
        self,
        workspace: str,
        current: configuration.Service,
        service: configuration.Service,
    ) -> configuration.Entry:
        previous = self._config.rollout(workspace, service.name)
        from_version = current.version
        if previous is not None and not previous.ended:
            raise Rejected(
                f"a rollout of {service.name!r} to {previous.to_version!r}"
                " runs; wait for its end or abort it"
            )
        if previous is not None:
            done = previous.state is configuration.RolloutState.DONE
            from_version = (
                previous.to_version if done else previous.from_version
            )
        now_s = self._origin.now_s
        state = configuration.RolloutState.RUNNING
        reason = ""
        if from_version == service.version:
            state = configuration.RolloutState.DONE
            reason = "already in force"
        name = configuration.rollout_name(workspace, service.name)
        body = configuration.Rollout(
            f"{name}@{self._origin.operation_id}",
            workspace,
            service.name,
            from_version,
            service.version,
            now_s,
            now_s + service.move_within_s,
            0,
            now_s,
            state,
            reason,
        )
        return self._entry(_KIND.ROLLOUT, name, body)

    def domain(
        self, name: str, drained: bool
    ) -> tuple[configuration.Entry, ...]:
        """Return the row that drains or restores a failure domain."""
        body = configuration.Domain(drained, self._origin.now_s)
        return (self._entry(_KIND.DOMAIN, name, body),)

    def start_rollout(
        self,
        workspace: str,
        service: str,
        version: str,
        within_s: float | None,
    ) -> tuple[configuration.Entry, ...]:
        """Return the rows for a rollout that an operator starts directly.

        No parameter of the workspace changes.

        Raises ``NotFound`` and ``Rejected``.
        """
        known = self._config.workspace(workspace)
        current = known.service(service) if known else None
        if known is None or current is None:
            raise NotFound(f"{workspace!r} reaches no service {service!r}")
        time_s = current.move_within_s if within_s is None else within_s
        target = dataclasses.replace(
            current, version=version, move_within_s=time_s
        )
        services = tuple(
            target if other.name == service else other
            for other in known.services
        )
        changed = dataclasses.replace(known, services=services)
        return (
            self._entry(_KIND.WORKSPACE, workspace, changed),
            self._rollout(workspace, current, target),
        )

    def abort_rollout(
        self, workspace: str, service: str
    ) -> tuple[configuration.Entry, ...]:
        """Return the row that reverts a rollout; raises ``Rejected``."""
        rollout = self._config.rollout(workspace, service)
        if rollout is None:
            raise NotFound(f"no rollout of {service!r} in {workspace!r}")
        if rollout.ended:
            raise Rejected(f"the rollout has ended as {rollout.state.value}")
        body = dataclasses.replace(
            rollout,
            state=configuration.RolloutState.UNDONE,
            reason="aborted by an operator",
            step_since_s=self._origin.now_s,
        )
        name = configuration.rollout_name(workspace, service)
        return (self._entry(_KIND.ROLLOUT, name, body),)
