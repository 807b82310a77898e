"""The expected duration of a route's requests."""

from fireflypulley.core.gateway import durations


def test_an_unknown_route_has_no_expected_time():
    assert durations.Durations().expected_s("r") is None


def test_most_requests_end_within_the_expected_time():
    averages = durations.Durations()
    took = [0.5, 1.0, 0.7, 1.4, 0.9] * 10
    for one_s in took:
        averages.observe("r", one_s)
    expected_s = averages.expected_s("r")
    assert sum(one_s <= expected_s for one_s in took) >= 0.8 * len(took)
    assert expected_s < 2 * max(took)


def test_the_expected_time_follows_a_slower_service():
    averages = durations.Durations()
    averages.observe("r", 0.1)
    for _ in range(20):
        averages.observe("r", 2.0)
    assert averages.expected_s("r") > 1.9
