"""Endpoints that register in the store, leave it, and lapse with it."""

import dataclasses

from fireflypulley.core.gateway import fleet

from . import history_store

SERVICES = ("x", "y")
PER_SERVICE = 3
LAPSE_S = 3.6
"""Time without an accepted heartbeat after which the store drops an entry."""
RETURN_S = 2.0
"""Bound of the platform: time after its return until entries are back."""
DRAINING_S = 2.3


@dataclasses.dataclass(eq=False)
class Endpoint:
    """One start of an endpoint; ``left_s`` is when the store heard of it."""

    endpoint_id: str
    service: str
    left_s: float | None = None
    is_binding: bool = False
    registered_s: float | None = None

    def value(self, is_leaving=False):
        return f"{self.service},{int(is_leaving)}".encode()


def registration(row):
    """Return the registration in a row that ``Endpoint.value`` made."""
    service, is_leaving = row.value.decode().split(",")
    return fleet.Registration(
        row.key,
        service,
        f"{row.key}:1",
        "a",
        "v",
        4,
        started_ms=1,
        leaving=is_leaving == "1",
    )


class Endpoints:
    """The endpoints of two services; ``is_stable`` tells of the store."""

    def __init__(self, store, clock, rng, is_stable, note):
        self._store = store
        self._clock = clock
        self._rng = rng
        self._is_stable = is_stable
        self._note = note
        self._count = 0
        self._when_back = []
        self._outages = 0
        self.started = []
        for service in SERVICES:
            for _ in range(PER_SERVICE):
                self._start(service)

    @property
    def running(self):
        return [one for one in self.started if one.left_s is None]

    def _start(self, service):
        self._count += 1
        one = Endpoint(f"{service}{self._count}", service)
        self.started.append(one)
        self._register(one)

    def _register(self, one):
        if one.left_s is None:
            self._write(lambda: self._put(one))

    def _put(self, one):
        one.registered_s = self._clock.seconds()
        self._store.write(
            history_store.ENDPOINTS, (one.endpoint_id, one.value())
        )

    def _write(self, call):
        """Write now, or once the store is back."""
        if self._store.away:
            self._when_back.append(call)
        else:
            call()

    def leave(self, count):
        """Let some running endpoints of a service leave, or all."""
        service = self._rng.choice(SERVICES)
        chosen = [one for one in self.running if one.service == service]
        is_announced = self._rng.random() < 0.4
        for one in chosen[:count]:
            self._write(lambda one=one: self._leave(one, is_announced))
            self._clock.callLater(
                self._rng.choice([0.3, 2.0, 5.0]), self._start, service
            )

    def _leave(self, one, is_announced):
        one.left_s = self._clock.seconds()
        one.is_binding = self._is_stable()
        value = one.value(True) if is_announced else None
        self._note(f"{one.endpoint_id} leaves, announced: {is_announced}")
        self._store.write(history_store.ENDPOINTS, (one.endpoint_id, value))
        if is_announced:
            self._clock.callLater(
                DRAINING_S, self._write, lambda: self._remove(one)
            )

    def _remove(self, one):
        self._store.write(history_store.ENDPOINTS, (one.endpoint_id, None))

    def store_lost(self):
        """Let the entries lapse if the outage lasts."""
        self._outages += 1
        after_s = self._rng.uniform(0.3, LAPSE_S)
        self._clock.callLater(after_s, self._lapse, self._outages)

    def _lapse(self, outage):
        if not self._store.away or outage != self._outages:
            return
        lapsed = [one for one in self.running if one.registered_s is not None]
        for one in lapsed:
            one.registered_s = None
            self._when_back.append(lambda one=one: self._come_back(one))
        self._note("all entries lapse")
        changes = [(one.endpoint_id, None) for one in lapsed]
        if changes:
            self._store.write(history_store.ENDPOINTS, *changes)

    def _come_back(self, one):
        after_s = self._rng.uniform(0.0, RETURN_S - 0.1)
        self._clock.callLater(after_s, self._register, one)

    def store_back(self):
        waiting, self._when_back = self._when_back, []
        for call in waiting:
            call()
