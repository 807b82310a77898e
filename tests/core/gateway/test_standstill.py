"""A node that stood still, and what waited for it."""

from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import standstill


def _ticking(until_s=10.0):
    still = standstill.Standstill()
    still.tick(until_s)
    return still


def test_nothing_is_noticed_before_the_first_tick():
    still = standstill.Standstill()
    assert still.observe(5.0) == 0.0
    assert still.observe(500.0) == 0.0
    assert still.earliest_sent_s(500.0) == 500.0


def test_what_waited_is_as_old_as_the_standstill():
    still = _ticking(10.0)
    assert still.observe(14.0) == 4.0
    assert still.observe(14.1) == 0.0
    assert still.earliest_sent_s(14.1) == 10.0
    read_s = 14.0 + standstill.BACKLOG_S + 4.0 * standstill.BACKLOG_FRACTION
    assert still.earliest_sent_s(read_s) == read_s


def test_what_still_waits_at_the_next_standstill_keeps_its_age():
    still = _ticking(10.0)
    still.observe(14.0)
    still.observe(14.2)
    assert still.observe(20.0) > 5.0
    assert still.earliest_sent_s(20.0) == 10.0


def test_after_a_step_back_the_age_of_what_waited_is_not_known():
    still = _ticking(10.0)
    assert still.observe(3.0) == -7.0
    assert still.earliest_sent_s(3.0) == float("-inf")
    read_s = 3.0 + standstill.BACKLOG_S
    assert still.earliest_sent_s(read_s) == read_s


# Guards against nodes that, after they stood still, count the requests that
# had waited for them as if they had been sent just now.
def test_requests_that_waited_are_no_new_budget():
    budget = limits.RetryBudget(1.0, 0.0, 10.0)
    budget.tick(0.0)
    for _ in range(5):
        budget.note_request("s", 9.0)
    assert not budget.spend("s", 1, 10.1)


# Guards against requests that waited over a window and pay for a retry made
# after the standstill.
def test_requests_that_waited_pay_for_no_retry_made_before_they_were_read():
    budget = limits.RetryBudget(1.0, 1.0, 10.0)
    budget.tick(0.0)
    assert budget.spend("s", 1, 20.0)
    for _ in range(5):
        budget.note_request("s", 20.1)
    assert not budget.spend("s", 1, 20.2)


def test_retries_made_before_a_standstill_count_after_it():
    budget = limits.RetryBudget(0.0, 1.0, 10.0)
    budget.tick(0.0)
    assert budget.spend("s", 1, 0.1)
    assert not budget.spend("s", 1, 19.0)
    for tick in range(100):
        budget.tick(19.0 + tick * 0.1)
    assert budget.spend("s", 1, 29.05)
