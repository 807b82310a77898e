"""Concurrent reads of the configuration."""

from twisted.internet import defer
from twisted.internet import task

from fireflypulley.core import node
from fireflypulley.core import topology
from fireflypulley.daemon import clock
from fireflypulley.daemon import driver
from fireflypulley.daemon import store
from fireflypulley.platform import base


class SlowTable(base.Table):
    """A table whose reads are answered by the test."""

    def __init__(self):
        self.pending_reads = []

    async def read(self, table, key):
        raise base.Unavailable("not used")

    async def changes(self, table, revision):
        answer = defer.Deferred()
        self.pending_reads.append(answer)
        return await answer

    async def transact(self, operation_id, writes):
        raise base.Unavailable("not used")


def test_concurrent_polls_read_one_after_the_other():
    table = SlowTable()
    core = node.Node(topology.Node("n1", "h:1", "a"), 1)
    loop = driver.Driver(core, clock.Clock(task.Clock()))
    table_store = store.Store(loop, table, "n1")
    results = []
    for _ in range(2):
        polling = defer.ensureDeferred(table_store.poll())
        polling.addCallback(results.append)
    assert len(table.pending_reads) == 1
    table.pending_reads[0].callback(base.Changes(0, ()))
    assert len(table.pending_reads) == 2
    table.pending_reads[1].callback(base.Changes(0, ()))
    assert results == [True, True]
