"""Peers that are gone, and peers that read slowly."""

import dataclasses
import socket

from fireflypulley.transport import liveness
from fireflypulley.transport import tcp_state

SILENT = tcp_state.TcpState(0, 0, 0, 0.0, 0)
CHECK_INTERVAL_S = 0.5


def _found_after_s(states):
    """Return when a peer counts as gone; a state for each check."""
    peer = liveness.PeerLiveness()
    for number, state in enumerate(states, start=1):
        now_s = number * CHECK_INTERVAL_S
        if peer.is_dead(state, now_s):
            return now_s
    return None


def _state(**fields):
    return dataclasses.replace(SILENT, **fields)


def test_a_peer_that_leaves_data_unacknowledged_is_found_in_seconds():
    resent_at_s = (0.2, 0.6, 1.4, 3.0)
    states = []
    for number in range(12):
        now_s = number * CHECK_INTERVAL_S
        sent = sum(at_s <= now_s for at_s in resent_at_s)
        states.append(
            _state(unacknowledged=2, retransmissions=sent, ack_age_s=now_s)
        )
    assert _found_after_s(states) <= 4.0


def test_a_peer_that_answers_no_window_probe_is_found():
    states = [
        _state(probes=number, ack_age_s=number * CHECK_INTERVAL_S)
        for number in range(8)
    ]
    assert _found_after_s(states) <= 4.0


# Guards against a caller that is cut while its window is closed.
def test_a_peer_that_answers_rare_probes_is_alive():
    ages_s = [0.5 * number % 25.0 for number in range(400)]
    assert _found_after_s([_state(ack_age_s=age) for age in ages_s]) is None


def test_one_lost_probe_kills_nobody():
    states = [_state(probes=1, ack_age_s=0.5 * number) for number in range(40)]
    assert _found_after_s(states) is None


def test_a_peer_that_drops_what_its_window_allowed_is_alive():
    """Each retransmission is answered, at longer and longer intervals."""
    states = []
    for number in range(100):
        age_s = 0.5 * (number % 10)
        states.append(
            _state(
                unacknowledged=1,
                retransmissions=number // 10,
                ack_age_s=age_s,
            )
        )
    assert _found_after_s(states) is None


def test_the_kernel_counts_what_the_peer_has_taken():
    with socket.create_server(("127.0.0.1", 0)) as server:
        peer = socket.create_connection(server.getsockname())
        handle, _ = server.accept()
        with peer, handle:
            before = _read(handle)
            if before is None:
                # A kernel without this option leaves it to the stall bound.
                return
            handle.sendall(b"x" * 1000)
            peer.recv(1000, socket.MSG_WAITALL)
            taken = _read(handle).acknowledged_bytes
    assert 0 <= taken - before.acknowledged_bytes <= 1000


def _read(handle):
    class Transport:
        def getHandle(self):
            return handle

    return tcp_state.read(Transport())


def test_a_kernel_that_tells_less_is_no_error():
    assert tcp_state.decode(b"\x01" * 104) is None
    handle = socket.socket()
    handle.close()
    assert _read(handle) is None
