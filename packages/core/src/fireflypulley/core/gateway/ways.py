"""When a node that reaches no endpoint is likely to reach one again."""

import collections.abc
import dataclasses

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import endpoint_paths
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import runs
from fireflypulley.core import ownership

MIN_WAIT_S = 0.1
"""A probe of the direct way that is due now needs this long."""

_Key = tuple[str, int]
_Peers = collections.abc.Callable[[], list[peer_registry.NodeEntry]]


class Ways:
    """The direct way to endpoints, and those through other nodes.

    ``choose_peers`` returns the nodes in touch.
    """

    def __init__(
        self,
        direct: endpoint_paths.EndpointPaths,
        peer_carriers: carriers.Carriers,
        choose_peers: _Peers,
    ) -> None:
        self._direct = direct
        self._carriers = peer_carriers
        self._choose_peers = choose_peers

    def wait_s(
        self,
        endpoints: collections.abc.Collection[_Key],
        needed_s: float,
        now_s: float,
    ) -> float | None:
        """Return how long it takes until a way to an endpoint is likely.

        ``needed_s`` is how long the request is expected to take.  None if
        there is a way now.
        """
        if not self._direct.is_cut_off(now_s):
            return None
        asked_s = self._carriers.asked_from_s(
            self._choose_peers(), endpoints, needed_s, now_s
        )
        if asked_s <= now_s:
            return None
        opens_s = min(asked_s, self._direct.next_probe_s)
        return max(MIN_WAIT_S, opens_s - now_s)

    def refusal(
        self,
        request: calls.AdmittedRequest,
        refused: runs.Refusal,
        endpoints: collections.abc.Collection[_Key],
        needed_s: float,
        now_s: float,
    ) -> runs.Refusal:
        """Return a refusal with the time at which a way is likely.

        Callers return spread over some time after it.
        """
        wait_s = self.wait_s(endpoints, needed_s, now_s)
        if wait_s is None or refused.retry_after_s is None:
            return refused
        point = ownership.fraction(request.metadata.request_id)
        return dataclasses.replace(
            refused,
            retry_after_s=wait_s + point * request_admission.RETRY_SOON_S,
            detail=f"{refused.detail}, a way is likely in {wait_s:.2f} s",
        )
