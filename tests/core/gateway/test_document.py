"""Routes by host and longest prefix, service weights, API keys."""

import collections

from fireflypulley.core.gateway import document

from . import builders


def test_the_longest_prefix_that_begins_the_path_wins():
    config = builders.a_document(
        builders.route(name="all", prefix="/"),
        builders.route(name="a", prefix="/a/"),
        builders.route(name="ab", prefix="/a/b/"),
    )
    found = {
        path: config.route("h", path).name
        for path in ("/", "/x", "/a/", "/a", "/a/b", "/a/b/", "/a/b/c/d")
    }
    assert found == {
        "/": "all",
        "/x": "all",
        "/a/": "a",
        "/a": "all",
        "/a/b": "a",
        "/a/b/": "ab",
        "/a/b/c/d": "ab",
    }


def test_another_host_has_no_route():
    config = builders.a_document()
    assert config.route("other", "/a/x") is None
    assert config.route("h", "/b/x") is None


def test_services_get_their_weights():
    split = builders.route(
        targets=(document.Target("s", 90), document.Target("t", 10))
    )
    counts = collections.Counter(
        split.service_for(f"q{index}") for index in range(4000)
    )
    assert 0.07 < counts["t"] / 4000 < 0.13
    assert split.service_for("q1") == split.service_for("q1")


def test_a_service_of_weight_zero_gets_no_requests():
    split = builders.route(
        targets=(document.Target("s", 1), document.Target("t", 0))
    )
    assert {split.service_for(str(one)) for one in range(500)} == {"s"}


def test_a_key_belongs_to_one_workspace():
    w = document.Workspace("w", ("k1", "k2"))
    config = builders.a_document(workspaces=[w])
    assert config.workspace_of_key("k2") is w
    assert config.workspace_of_key("k3") is None
