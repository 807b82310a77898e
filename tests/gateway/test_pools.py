"""Connections that outlive what a node knows of their endpoint."""

from twisted.internet import defer
from twisted.internet import testing

from fireflypulley.core.gateway import loads
from fireflypulley.gateway import pools
from fireflypulley.gateway import tunnels

from ..core.gateway import builders
from . import test_inbound


class System:
    """A node with one endpoint, whose connections stay open."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.connections = pools.ConnectionPools(self.reactor)
        self.scheduler = builders.a_scheduler(None, builders.entry("e1"))

    @property
    def load(self):
        return self.scheduler.loads.of(self.scheduler.fleet.get("e1"))

    @property
    def pool(self):
        member = self.scheduler.fleet.get("e1")
        return self.connections.pool(member, self.load)

    def connect(self):
        """Open a connection, which is in use until it is released."""
        acquired = defer.ensureDeferred(self.pool.acquire(True))
        factory = self.reactor.tcpClients[-1][2]
        factory.buildProtocol(None).makeConnection(test_inbound.Transport())
        return self.success(acquired)

    def success(self, deferred):
        results = []
        deferred.addCallback(results.append)
        return results[0]

    def tick(self):
        """Forget what is gone, as the service does."""
        fleet = self.scheduler.fleet
        fleet.expire(self.reactor.seconds())
        self.scheduler.forget_absent()
        self.connections.tick({one.registration.key for one in fleet})

    def remove_entry(self):
        now_s = self.reactor.seconds()
        self.scheduler.fleet.remove("e1", now_s, False)
        self.reactor.advance(60.0)
        self.tick()
        assert self.scheduler.fleet.get("e1") is None

    def return_entry(self):
        now_s = self.reactor.seconds()
        self.scheduler.fleet.put(builders.entry("e1"), now_s)


# Guards against live streams that look silent: activity went to the load
# that was there when the pool was made, which had been forgotten.
def test_activity_counts_for_the_load_that_is_in_use():
    system = System()
    system.connect()
    system.remove_entry()
    system.return_entry()
    pool, load = system.pool, system.load
    load.begin(0, system.reactor.seconds())
    for _ in range(10):
        system.reactor.advance(loads.UNRESPONSIVE_AFTER_S / 2)
        pool.note_activity()
    assert not load.is_unresponsive(system.reactor.seconds())


def test_a_pool_without_open_connections_is_dropped():
    system = System()
    first = system.pool
    system.remove_entry()
    system.return_entry()
    assert system.pool is not first


class NoLongerNeeded(tunnels.TunnelSource):
    """Finds that the direct way is open again."""

    async def connect(self, key, connection, needed_s=0.0):
        raise tunnels.DirectAgain(string="direct")


# Guards against a request that waited for a peer and fails, as the direct way
# opened before.
def test_a_request_goes_directly_once_that_is_possible_again():
    system = System()
    system.connections.paths.tunnels = NoLongerNeeded()
    for key in (system.pool._key, ("e2", 1)):
        system.connections.paths.direct.note_direct(key, False, 0.0)
    assert system.pool._is_cut_off
    assert system.connect().is_usable
