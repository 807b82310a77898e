"""The text of jobs that callers read while the jobs run."""

import json

import pytest

from fireflypulley.callers import events as sse
from fireflypulley.core import actions
from fireflypulley.core import job_rows
from fireflypulley.daemon import store
from fireflypulley.platform import base
from fireflypulley.platform import job_store

from tests.daemon import test_returning_callers as returning

JOB = job_rows.Job("j1", "w", "chat", "chat", "", 0.0, 60.0)


def transcript(text):
    """Return the events of a text, a letter each."""
    frames = [
        json.dumps({"choices": [{"delta": {"content": letter}}]}).encode()
        for letter in text
    ]
    return sse.add_ids([b"data: " + frame for frame in frames], 0)


class JobStore:
    """Holds one job and its checkpoint; writes fail while it is down."""

    def __init__(self):
        self.stored = None
        self.down = False

    async def read(self, job_id):
        return job_rows.JobRow(JOB, 1)

    async def progress(self, job_id):
        return self.stored

    async def put_progress(self, job_id, progress, etag):
        if self.down:
            raise base.Unavailable("down")
        self.stored = job_store.StoredProgress(progress, "etag")
        return "etag"


class Sink(returning.Sink):
    """A reader of a job's text."""

    def answer(self, answer):
        self.text = json.loads(answer.body)["text"]


class Owner(returning.Node):
    """A node that has a job with some of its text."""

    def __init__(self, folder):
        super().__init__(folder)
        self.jobs = JobStore()
        self.runner = self.app._job_runner
        self.runner._job_store = self.jobs
        self.app._job_frontend._job_store = self.jobs

    def receive(self, text):
        self.runner.receive(JOB, b"{}", transcript(text), len(text))

    def generate(self, text):
        """Let the job have this text."""
        local_job = self.runner._local_jobs["j1"]
        local_job.transcript = transcript(text)
        local_job.tokens = len(text)

    def checkpoint(self):
        action = actions.WriteCheckpoint(JOB)
        store.spawn(self.runner._checkpoint(action))

    def read(self, offset=0):
        sink = Sink()
        self.app.job_text(returning.CALL, "j1", offset, sink)
        return sink.text


@pytest.fixture
def owner(tmp_path):
    return Owner(tmp_path)


# Guards against a text joined from two runs: a reader had more of it than the
# checkpoint from which another node goes on, in other words.
def test_a_reader_gets_no_text_that_may_be_written_anew(owner):
    owner.receive("ab")
    owner.checkpoint()
    owner.generate("abcd")
    text = owner.read()
    saved = owner.jobs.stored.progress.transcript
    assert transcript(text).decode() == saved == transcript("ab").decode()


# Guards against the same where the checkpoint could not be written.
def test_a_reader_gets_no_text_that_could_not_be_written(owner):
    owner.receive("ab")
    owner.checkpoint()
    owner.generate("abcd")
    owner.jobs.down = True
    owner.checkpoint()
    assert owner.read(1) == "b"


def test_a_reader_gets_what_the_last_checkpoint_has(owner):
    owner.receive("ab")
    owner.checkpoint()
    owner.generate("abcd")
    owner.checkpoint()
    assert (owner.read(), owner.read(2)) == ("abcd", "cd")
