"""Jobs whose checkpoint holds other events than the node that takes them."""

import dataclasses

import pytest

from fireflypulley.callers import events as sse
from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import job_rows
from fireflypulley.daemon import store
from fireflypulley.platform import job_store

from tests.daemon import test_job_texts as job_texts

TAKEN = dataclasses.replace(job_texts.JOB, owner="n1", epoch=2)


class JobStore(job_texts.JobStore):
    """Lets jobs be taken as well."""

    async def write(self, job, version):
        return job_rows.JobRow(job, version + 1)

    async def payload(self, job_id):
        return b"{}"


class Taker(job_texts.Owner):
    """A node that runs a job which a leaving node has handed over."""

    def __init__(self, folder):
        super().__init__(folder)
        self.jobs = self.runner._job_store = JobStore()
        self.app._job_frontend._job_store = self.jobs

    def run(self, text):
        """Receive the first two letters, and generate the others here."""
        self.receive(text[:2])
        self.runner._start(actions.StartJob(job_texts.JOB, 2))
        self.task = self.runner._local_jobs["j1"].task
        self.task.transcript[:] = job_texts.transcript(text)
        self.task.tokens = len(text)

    def save(self, text):
        """Let the leaving node have stored this text."""
        progress = job_store.JobProgress(
            1, len(text), job_texts.transcript(text).decode()
        )
        self.jobs.stored = job_store.StoredProgress(progress, "etag")

    def take(self):
        store.spawn(self.runner._take(actions.TakeJob(TAKEN, 1)))

    @property
    def stored_text(self):
        transcript = self.jobs.stored.progress.transcript
        return sse.text_of(transcript.encode())

    @property
    def taken(self):
        """Return how the core was told of the job."""
        return [one for one in self.fed if isinstance(one, events.JobTaken)]


@pytest.fixture
def taker(tmp_path):
    return Taker(tmp_path)


# Guards against a text that gets shorter, or goes on in other words than its
# reader has: the leaving node had stored more, or other events, than the node
# that runs the job now.
@pytest.mark.parametrize("saved", ["abcdefg", "abXY", "abX"])
def test_a_taken_job_goes_on_from_the_checkpoint(taker, saved):
    taker.run("abcde")
    taker.save(saved)
    taker.take()
    assert taker.stored_text == saved
    assert taker.jobs.stored.progress.epoch == TAKEN.epoch
    assert taker.read() == saved
    (told,) = taker.taken
    assert (told.tokens, told.restarts) == (len(saved), True)


def test_the_run_that_was_given_up_is_stopped(taker):
    taker.run("abcde")
    taker.save("abcdefg")
    taker.take()
    assert events.HandedOver(taker.task.request.request_id) in taker.fed
    assert not list(taker.app._registry)
    taker.runner._start(actions.StartJob(TAKEN, 7))
    (task,) = taker.app._registry
    assert (task.tokens, task.transcript) == (
        7,
        job_texts.transcript("abcdefg"),
    )


@pytest.mark.parametrize("saved", ["", "ab", "abcde"])
def test_a_taken_job_keeps_what_goes_beyond_the_checkpoint(taker, saved):
    taker.run("abcde")
    taker.save(saved)
    taker.take()
    assert taker.stored_text == "abcde"
    (told,) = taker.taken
    assert (told.tokens, told.restarts) == (5, False)
    assert list(taker.app._registry) == [taker.task]


def test_a_run_goes_on_while_the_checkpoint_can_not_be_written(taker):
    taker.run("abcde")
    taker.save("abcdefg")
    taker.jobs.down = True
    taker.take()
    assert not taker.taken
    assert list(taker.app._registry) == [taker.task]


# Guards against the same for a job that waits for its first or next run.
def test_a_job_that_is_not_run_begins_at_its_checkpoint(taker):
    taker.receive("ab")
    taker.save("abX")
    taker.take()
    assert taker.stored_text == "abX"
    (told,) = taker.taken
    assert (told.tokens, told.restarts) == (3, False)
