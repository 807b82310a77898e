"""Routes whose answers have no length need connections of their own."""

from fireflypulley.core.gateway import unframed_routes


def test_a_route_needs_unused_connections_for_a_while():
    routes = unframed_routes.UnframedRoutes()
    assert not routes.needs_unused("fetch", 0.0)
    routes.note("fetch", 1.0)
    assert routes.needs_unused("fetch", 1.0)
    assert not routes.needs_unused("file", 1.0)
    end_s = 1.0 + unframed_routes.MEMORY_S
    assert routes.needs_unused("fetch", end_s - 0.1)
    assert not routes.needs_unused("fetch", end_s)


def test_each_such_answer_lengthens_the_time():
    routes = unframed_routes.UnframedRoutes()
    routes.note("fetch", 0.0)
    routes.note("fetch", 10.0)
    assert routes.needs_unused("fetch", unframed_routes.MEMORY_S + 9.0)
