"""Which limit of an endpoint is in force after which answers."""

from fireflypulley.core.gateway import endpoint_limits

KEY = ("e1", 1)


def _rate(limits, key=KEY):
    limit = limits.of(key)
    return None if limit is None else limit.rate_per_s


def test_a_limit_holds_until_an_answer_no_longer_names_it():
    limits = endpoint_limits.EndpointLimits()
    assert limits.note_named(KEY, 2.0, 1.0).rate_per_s == 2.0
    assert limits.note_named(KEY, 2.0, 3.0) is None
    assert limits.age_s(KEY, 3.5) == 0.5
    assert _rate(limits) == 2.0
    assert limits.note_unnamed(KEY, 3.1).rate_per_s is None
    assert _rate(limits) is None


def test_an_answer_that_was_overtaken_does_not_end_a_limit():
    limits = endpoint_limits.EndpointLimits()
    limits.note_named(KEY, 2.0, 3.0)
    assert limits.note_unnamed(KEY, 2.9) is None
    assert _rate(limits) == 2.0


def test_a_new_rate_replaces_the_old_one():
    limits = endpoint_limits.EndpointLimits()
    first = limits.note_named(KEY, 2.0, 1.0)
    second = limits.note_named(KEY, 5.0, 2.0)
    assert second.rank > first.rank
    assert _rate(limits) == 5.0


def test_another_start_of_the_same_id_has_no_limit():
    limits = endpoint_limits.EndpointLimits()
    limits.note_named(KEY, 2.0, 1.0)
    assert _rate(limits, ("e1", 2)) is None
    limits.forget_absent({("e1", 2)})
    assert not limits.known()


def test_an_invalid_value_is_news_once():
    limits = endpoint_limits.EndpointLimits()
    assert limits.note_invalid(KEY, "nan")
    assert not limits.note_invalid(KEY, "nan")
    assert limits.note_invalid(KEY, "inf")
    assert _rate(limits) is None
