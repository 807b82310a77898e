"""Refusals of calls that are not requests yet."""

import dataclasses

import pytest

from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import problems

from tests.daemon import test_returning_callers as returning

CALL = dataclasses.replace(returning.CALL, token_sha256="unknown")
LATER_S = 3600.0


class Node(returning.Node):
    """A node that reads its configuration when the test says so."""

    def __init__(self, folder):
        super().__init__(folder)
        self.app._core.state.config = configuration.Configuration()

    def read_configuration(self, age_s):
        entry = configuration.Entry(
            configuration.EntryKind.TEMPLATE,
            "template",
            1,
            "",
            configuration.Template(""),
        )
        read_s = self.app._loop.now_s() - age_s
        self.app._core.handle(events.EntriesRead((entry,), read_s), read_s)


@pytest.fixture
def node(tmp_path):
    return Node(tmp_path)


# Guards against a refusal that is not true: a node that had not read the
# configuration said that a caller's token belongs to no workspace.
def test_a_token_is_not_called_unknown_before_the_configuration(node):
    refusal = node.submit(CALL).refusal
    assert refusal.reason is problems.Reason.STORE_UNAVAILABLE
    assert (refusal.run, refusal.status) == (problems.Run.NOT_RUN, 503)
    assert refusal.retry_after_s > 0.0


# Guards against the same where the configuration may have changed meanwhile.
def test_a_token_is_not_called_unknown_by_an_old_configuration(node):
    node.read_configuration(LATER_S)
    refusal = node.submit(CALL).refusal
    assert refusal.reason is problems.Reason.STORE_UNAVAILABLE


def test_an_unknown_token_is_refused(node):
    node.read_configuration(0.0)
    refusal = node.submit(CALL).refusal
    assert refusal.reason is problems.Reason.BAD_CREDENTIALS
    assert (refusal.run, refusal.status) == (problems.Run.NOT_RUN, 401)
