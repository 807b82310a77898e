"""What the bench of slow callers makes of what it sees."""

import pathlib
import socket

import pytest

from fireflystandins import slow_caller_benchmark

TABLE = """\
  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000007 00:00000000 00000000
   1: 0100007F:1F90 0100007F:C001 01 00000010:00000002 00:00000000 00000000
   2: 0100007F:1F90 0100007F:C002 01 000000FF:00000000 00:00000000 00000000
   3: 0100007F:C001 0100007F:1F90 01 00000003:00000004 00:00000000 00000000
   4: 0100007F:1F91 0100007F:C003 01 00000100:00000100 00:00000000 00000000
   5: 0100007F:1F90 0100007F:C004 06 00000100:00000100 00:00000000 00000000
"""


def test_queues_are_those_of_a_port_s_connections():
    queues = slow_caller_benchmark.queues_of(TABLE, local_port=0x1F90)
    assert queues == slow_caller_benchmark.Queues(0x10 + 0xFF, 2)
    queues = slow_caller_benchmark.queues_of(TABLE, remote_port=0x1F90)
    assert queues == slow_caller_benchmark.Queues(3, 4)


def test_what_a_real_socket_has_not_read_is_seen():
    with socket.create_server(("127.0.0.1", 0)) as port:
        address = port.getsockname()
        with socket.create_connection(address) as caller:
            accepted, _ = port.accept()
            with accepted:
                caller.sendall(b"x" * 5000)
                accepted.recv(1, socket.MSG_PEEK)
                table = pathlib.Path("/proc/net/tcp").read_text()
    queues = slow_caller_benchmark.queues_of(table, local_port=address[1])
    assert queues == slow_caller_benchmark.Queues(0, 5000)


def test_the_ratio_is_that_of_what_the_nodes_add():
    times_s = {"beside": [0.014], "alone": [0.012], "direct": [0.01]}
    measured = {
        figure.name: figure
        for figure in slow_caller_benchmark.added_figures(
            "x", times_s, "<=1.1"
        )
    }
    assert measured["x.beside.median"].value == pytest.approx(4)
    assert measured["x.alone.median"].value == pytest.approx(2)
    assert measured["x.ratio.median"].value == pytest.approx(2)
    assert not measured["x.ratio.median"].is_within_bound
    assert measured["x.ratio.p99"].bound == ""
