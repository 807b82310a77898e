"""Services whose answers have no length need connections of their own."""

from fireflypulley.core.gateway import unframed_services


def test_a_service_needs_unused_connections_for_a_while():
    services = unframed_services.UnframedServices()
    assert not services.needs_unused("registry", 0.0)
    services.note("registry", 1.0)
    assert services.needs_unused("registry", 1.0)
    assert not services.needs_unused("speech", 1.0)
    end_s = 1.0 + unframed_services.MEMORY_S
    assert services.needs_unused("registry", end_s - 0.1)
    assert not services.needs_unused("registry", end_s)


def test_each_such_answer_lengthens_the_time():
    services = unframed_services.UnframedServices()
    services.note("registry", 0.0)
    services.note("registry", 10.0)
    assert services.needs_unused("registry", unframed_services.MEMORY_S + 9.0)
