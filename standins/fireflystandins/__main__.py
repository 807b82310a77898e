"""Starts one stand-in: ``python -m fireflystandins KIND ADDRESS``.

``python -m fireflystandins soak`` plays disruptions to real processes.
"""

import argparse
import sys

import cappa

from fireflystandins import engine
from fireflystandins import forwarder
from fireflystandins import long_answers
from fireflystandins import platform
from fireflystandins import replica
from fireflystandins import rowstore
from fireflystandins import service
from fireflystandins.soak import command
from fireflystandins.soak import endpoint
from fireflystandins import web


KINDS = (
    "platform",
    "engine",
    "service",
    "rows",
    "replica",
    "forwarder",
    "soak-endpoint",
    "long-endpoint",
)
REPLICAS = {
    "replica": replica.Replica,
    "soak-endpoint": endpoint.SoakReplica,
    "long-endpoint": long_answers.LongReplica,
}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="fireflystandins")
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("address", help="host:port to listen on")
    parser.add_argument("--first-token-s", type=float, default=0.02)
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--capacity", type=int, default=16)
    parser.add_argument("--cold-capacity", type=int, default=1)
    parser.add_argument("--cold", action="store_true")
    parser.add_argument("--replica-id", default="i-1")
    parser.add_argument("--padding-bytes", type=int, default=0)
    parser.add_argument("--service", default="s")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--zone", default="a")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--target", default="127.0.0.1:9101")
    parser.add_argument("--store", default="127.0.0.1:9100")
    parser.add_argument("--advertised", default="")
    return parser


def main() -> None:
    """Run a stand-in until it is stopped, or a soak."""
    if sys.argv[1:2] == ["soak"]:
        cappa.invoke(command.Soak, argv=sys.argv[2:])
        return
    options = _parser().parse_args()
    if options.kind == "forwarder":
        forwarder.serve(options.address, options.target)
        return
    if options.kind in REPLICAS:
        kind = REPLICAS[options.kind]
        identity = replica.Identity(
            options.replica_id,
            options.service,
            options.zone,
            options.version,
            options.address,
            options.store,
            options.slots,
            options.advertised,
        )
        replica.serve(identity, kind)
        return
    if options.kind == "rows":
        handler = rowstore.RowStore().handle
    elif options.kind == "platform":
        handler = platform.Platform().handle
    elif options.kind == "service":
        handler = service.Service().handle
    else:
        settings = engine.Settings(
            first_token_s=options.first_token_s,
            token_s=options.token_s,
            capacity=options.capacity,
            cold_capacity=options.cold_capacity,
            cold=options.cold,
            padding_bytes=options.padding_bytes,
        )
        handler = engine.Engine(settings).handle
    web.serve(handler, options.address)


if __name__ == "__main__":
    main()
