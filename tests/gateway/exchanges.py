"""A scheduler with two endpoints, and a request that the test answers."""

import math

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import document
from fireflypulley.gateway import connector
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import exchange
from fireflypulley.gateway import inbound
from fireflypulley.gateway import limit_reader
from fireflypulley.gateway import metrics
from fireflypulley.gateway import pools
from fireflypulley.gateway import prober
from fireflypulley.gateway import tunnels
from fireflypulley.transport import memory

from ..core.gateway import builders
from . import header_codecs

SEALED = [(b"x-request-id", b"q1"), (b"x-seal", b"s1")]
MEMORY_BYTES = 64 << 20
STREAM = document.RouteKind.STREAM
AT_MOST_ONCE = document.RouteKind.AT_MOST_ONCE
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class Sink(inbound.CallerSink):
    """The response that the caller gets."""

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.state = "open"
        self.is_taken_at_once = True
        self.on_delivery = None

    def head(self, status, headers):
        assert self.status is None
        self.status = status
        self.headers = headers

    def data(self, data):
        self.body += data

    def end(self, on_delivery=inbound.ignore_delivery):
        assert self.state == "open"
        self.state = "whole"
        if self.is_taken_at_once:
            on_delivery(caller_ends.Delivery())
        else:
            self.on_delivery = on_delivery

    def abort(self):
        assert self.state == "open"
        self.state = "cut"


class Connection:
    """A connection with one request, answered by the test."""

    def __init__(self, endpoint_id):
        self.endpoint_id = endpoint_id
        self.peer = ""
        self.carried = []
        self.is_first_request = True
        self.is_unframed = False
        self.is_ambiguous = False
        self.listener = None
        self.aborted = False
        self.discarded = False
        self.is_usable = True

    def has_carried(self, request_id):
        return request_id in self.carried

    def send(self, method, target, headers, body, listener, request_id=""):
        self.carried.append(request_id)
        self.method, self.target, self.body = method, target, body
        self.headers = dict(headers)
        self.listener = listener

    def abort(self):
        self.aborted = True

    def discard_response(self):
        self.discarded = True

    def read_little(self, is_little):
        self.reads_little = is_little

    def pause(self):
        pass

    def resume(self):
        pass


class Pool:
    """Connections to one endpoint."""

    def __init__(self, world, endpoint_id):
        self.world = world
        self.endpoint_id = endpoint_id
        self.released = []

    def acquire(self, fresh, needed_s=0.0, is_unused=False):
        self.world.needs_unused.append(is_unused)
        if self.world.kept is not None and not fresh:
            connection, self.world.kept = self.world.kept, None
            self.world.sent.append(connection)
            return defer.succeed(connection)
        if self.endpoint_id in self.world.unreachable:
            return defer.fail(error.ConnectError())
        if self.world.slow_connect is not None:
            return self.world.slow_connect
        connection = Connection(self.endpoint_id)
        self.world.sent.append(connection)
        return defer.succeed(connection)

    async def probe_through_peer(self):
        if self.endpoint_id not in self.world.reached_by_peers:
            raise tunnels.NoTunnel(self.world.peers_problem)

    def release(self, connection):
        self.released.append(connection)


class World:
    """An exchange of one request with two endpoints."""

    def __init__(
        self,
        kind=document.RouteKind.IDEMPOTENT,
        caller_fields=(),
        memory_bytes=MEMORY_BYTES,
        **fields,
    ):
        config = builders.a_document(builders.route(kind, **fields))
        self.clock = task.Clock()
        self.scheduler = builders.a_scheduler(
            config, builders.entry("e1"), builders.entry("e2")
        )
        for _ in range(50):
            self.scheduler.retry_budget.note_request("s", 0.0)
        self.paths = pools.Paths()
        self.unreachable = set()
        self.reached_by_peers = set()
        self.peers_problem = "refused"
        self.slow_connect = None
        self.kept = None
        """A kept connection that the next attempt gets."""
        self.sent = []
        self.needs_unused = []
        """For each connection, whether it must have carried nothing."""
        self.pools = {}
        self.done = []
        self.usage = []
        self.published = []
        self.crash_reports = []
        self.limit_reports = []
        self.leaving_reports = []
        self.permits = []
        self.permit_requests = []
        self.stops_at_s = math.inf
        self.sink = Sink()
        self.memory = memory.MemoryBudget(self.clock, memory_bytes)
        shared = dependencies.Dependencies(
            self.clock,
            self.scheduler,
            header_codecs.PlainHeaderCodec(),
            connector.Connector(self.clock, self.scheduler, self, self),
            self.usage.append,
            metrics.GatewayMetrics(),
            self.crash_detector(self.scheduler),
            limit_reader.LimitReader(
                self.scheduler.limited.limits,
                self.scheduler.brittle,
                self.scheduler.leaving,
                self.limit_reports.append,
                self.leaving_reports.append,
            ),
            self.done.append,
            self.memory,
            lambda: self.stops_at_s,
        )
        request = inbound.IncomingRequest(
            b"POST",
            b"/a/x",
            [(b"host", b"h"), (b"x-request-id", b"q1"), *caller_fields],
            0.0,
            b"body",
        )
        self.exchange = exchange.Exchange(shared, request, self.sink)

    def crash_detector(self, node_scheduler):
        """Return what checks this world's endpoints for crashes."""
        return crash_detector.CrashDetector(
            self.clock,
            node_scheduler,
            prober.Prober(self.clock, node_scheduler, self),
            self.published.append,
            self.crash_reports.extend,
        )

    def pool(self, member, load):
        """Return an endpoint's pool, as ConnectionPools does."""
        key = member.registration.key
        return self.pools.setdefault(key, Pool(self, key[0]))

    def request(self, limit):
        """Return the next of ``permits``, as a PermitSource does."""
        self.permit_requests.append(limit.endpoint_id)
        permit = self.permits.pop(0)
        if isinstance(permit, defer.Deferred):
            return permit
        return defer.succeed(permit)

    def begin(self):
        """Start the request; return the connection it was sent on, if any."""
        self.exchange.start()
        return self.sent[-1] if self.sent else None

    def finished(self):
        """Return whether the request has ended and no run is left open."""
        running = sum(
            self.scheduler.loads.of(member).running
            for member in self.scheduler.fleet
        )
        return len(self.done) == 1 and not running


def answer(connection, status=200, body=b"ok", headers=SEALED):
    listener = connection.listener
    listener.response_head(status, list(headers))
    if body:
        listener.response_data(body)
    listener.response_end()
