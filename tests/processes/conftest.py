"""Fixtures that run a system of real processes for each test."""

import pathlib
import typing

import pytest

from fireflystandins import local

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def start(system: local.LocalSystem, grace_s: float) -> None:
    """Start and configure two engines, one service and three daemons."""
    system.start_platform()
    for number, domain in enumerate(("dakar-a", "dakar-b"), start=1):
        system.start_endpoint(
            local.EndpointSpec(
                f"shorthand-{number}", "engine", "shorthand", "v1", domain
            )
        )
    system.start_endpoint(
        local.EndpointSpec("filing-1", "service", "filing", "v1", "dakar-b")
    )
    for number, domain in enumerate("abc", start=1):
        system.start_daemon(f"node{number}", f"dakar-{domain}", grace_s)
    system.wait_ports()
    system.apply(
        (EXAMPLES / "court.ini").read_text(),
        (EXAMPLES / "court-dakar.ini").read_text(),
    )
    system.wait_ready()


@pytest.fixture
def system(tmp_path: pathlib.Path) -> typing.Iterator[local.LocalSystem]:
    """Yield a configured system with three ready daemons."""
    with local.running(tmp_path) as local_system:
        start(local_system, grace_s=20.0)
        yield local_system


@pytest.fixture
def hasty_system(tmp_path: pathlib.Path) -> typing.Iterator[local.LocalSystem]:
    """Yield a system whose daemons must shut down within 6 s."""
    with local.running(tmp_path) as local_system:
        start(local_system, grace_s=6.0)
        yield local_system
