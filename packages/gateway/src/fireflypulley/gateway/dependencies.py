"""What all requests of a node share."""

import collections.abc
import dataclasses
import math

from twisted.internet import interfaces

from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import connector
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import limit_reader
from fireflypulley.gateway import metrics
from fireflypulley.transport import memory


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The objects that serve all requests; ``done`` is told of each end."""

    reactor: interfaces.IReactorTime
    scheduler: scheduler.RequestScheduler
    header_codec: header_codec.HeaderCodec
    connector: connector.Connector
    count_usage: collections.abc.Callable[[str], None]
    metrics: metrics.GatewayMetrics
    crash_detector: crash_detector.CrashDetector
    limit_reader: limit_reader.LimitReader
    done: collections.abc.Callable[[inbound.RequestHandler], None]
    memory: memory.MemoryBudget
    stops_at_s: collections.abc.Callable[[], float] = lambda: math.inf
    """When this node ends what still runs, infinite unless it is stopping."""
