"""Jobs that a node runs, and goes on with from their checkpoint."""

import dataclasses

import pytest

from fireflypulley.core import actions
from fireflypulley.core import facts
from fireflypulley.core import job_rows
from fireflypulley.core import jobs
from fireflypulley.core import membership
from fireflypulley.core import topology

JOB = job_rows.Job("j1", "w", "chat", "chat", "", 0.0, 600.0)
TAKEN = dataclasses.replace(JOB, owner="n1", epoch=1)


@pytest.fixture
def running():
    """Return the jobs of a node that runs one it has received."""
    this = topology.Node("n1", "127.0.0.1:3", "a", "")
    members = membership.Membership(this, 1, facts.SharedState())
    running = jobs.Jobs("n1", 1, members)
    running.receive(JOB, 5, 0.0)
    assert starts(running) == [actions.StartJob(JOB, 5)]
    return running


def starts(running):
    return [
        action
        for action in running.tick(1.0)
        if isinstance(action, actions.StartJob)
    ]


def test_a_job_that_restarts_is_started_in_its_new_epoch(running):
    running.taken(TAKEN, 2, 7, 0.0)
    running.restart("j1", 7)
    assert starts(running) == [actions.StartJob(TAKEN, 7)]
    assert starts(running) == []


# Guards against a job that ends with the text of a run that was given up.
def test_a_job_that_restarts_has_not_ended(running):
    running.answered("j1")
    running.taken(TAKEN, 2, 7, 0.0)
    running.restart("j1", 7)
    assert running.running_ids() == ["j1"]


def test_a_cancelled_job_does_not_restart(running):
    running.cancel("j1")
    running.taken(TAKEN, 2, 7, 0.0)
    running.restart("j1", 7)
    assert starts(running) == []
    assert running.unwritten() == 1


def test_a_job_that_is_taken_goes_on(running):
    running.taken(TAKEN, 2, 5, 0.0)
    assert starts(running) == []
