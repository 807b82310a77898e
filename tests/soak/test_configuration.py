"""Changes of the configuration come and go, also those that overlap."""

from fireflystandins.soak import callers
from fireflystandins.soak import configuration
from fireflystandins.soak import plan

ROUTES = frozenset({"stream", "resumed", "file", "fetch"})


def _settings(**fields):
    return configuration.Settings(plan.Load(**fields))


def test_the_first_version_has_all_routes_and_the_key():
    settings = _settings()
    assert settings.routes == ROUTES
    assert settings.has_key
    timeouts = {one["timeout-ms"] for one in settings.written["routes"]}
    assert timeouts == {callers.DEADLINE_MS}


def test_changes_that_overlap_are_taken_back_each_by_itself():
    settings, written = _settings(), []
    with settings.without("file", written.append):
        assert settings.routes == ROUTES - {"file"}
        with settings.without("", written.append):
            assert settings.routes == ROUTES - {"file"}
            assert not settings.has_key
        assert settings.has_key
    assert settings.routes == ROUTES
    assert [one["version"] for one in written] == [2, 3, 4, 5]


def test_the_callers_workspace_alone_has_the_limit_of_the_load():
    settings = _settings(limit_per_s=5.0, limit_burst=7.0)
    limited = {
        one["name"]: (one["rate-per-s"], one["burst"])
        for one in settings.written["tenants"]
        if "rate-per-s" in one
    }
    assert limited == {"court": (5.0, 7.0)}
    tenants = _settings().written["tenants"]
    assert not any("rate-per-s" in one for one in tenants)
