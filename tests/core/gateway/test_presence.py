"""What is kept only while its endpoint is there."""

from fireflypulley.core.gateway import presence


def test_only_what_is_present_stays():
    kept = {("e1", 1): "a", ("e1", 2): "b", ("e2", 1): "c"}
    presence.drop_absent(kept, {("e1", 2), ("e3", 1)})
    assert kept == {("e1", 2): "b"}
