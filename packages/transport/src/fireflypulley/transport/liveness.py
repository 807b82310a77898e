"""Tells a peer that is gone from one that reads slowly.

A peer whose window is closed acknowledges the probes that are sent to it.
``TCP_USER_TIMEOUT`` counts that time as well, and so cuts a slow reader.
"""

from fireflypulley.transport import tcp_state

DEAD_AFTER_S = 2.5
DEAD_AFTER_SENDS = 2
"""One probe may stay without an answer: kernels limit how often they
acknowledge data outside the window."""


class PeerLiveness:
    """Judges the peer of one connection from successive states."""

    def __init__(self) -> None:
        self._noted_s = 0.0
        self._answered_retransmissions = 0

    def is_dead(self, state: tcp_state.TcpState, now_s: float) -> bool:
        """Record the state at ``now_s``; return whether the peer is gone.

        It is if nothing came back for ``DEAD_AFTER_S`` while
        ``DEAD_AFTER_SENDS`` packets wanted an answer.
        """
        since_s, self._noted_s = now_s - self._noted_s, now_s
        if state.ack_age_s <= since_s:
            self._answered_retransmissions = state.retransmissions
        repeats = state.retransmissions - self._answered_retransmissions
        if not state.unacknowledged:
            repeats = 0
        has_no_answer = max(repeats, state.probes) >= DEAD_AFTER_SENDS
        return has_no_answer and state.ack_age_s >= DEAD_AFTER_S
