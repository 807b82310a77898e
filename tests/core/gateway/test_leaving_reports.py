"""What endpoints say of their leaving binds all nodes that hear of it."""

import math

import pytest

from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import peer_numbers

from . import builders

DRAIN_S = 2.0


def _reports(*endpoint_ids):
    known = fleet.Fleet(DRAIN_S)
    for endpoint_id in endpoint_ids:
        known.put(builders.entry(endpoint_id), 0.0)
    return known, leaving_reports.LeavingReports(known)


def test_an_answer_is_news_once():
    known, reports = _reports("e1")
    report = reports.note_answer(("e1", 1), 5.0)
    assert report == leaving_reports.LeavingReport("e1", 1)
    assert reports.note_answer(("e1", 1), 6.0) is None
    assert not known.is_in_use(known.get("e1"), 6.0)


def test_what_the_entry_said_before_is_no_news():
    known, reports = _reports()
    known.put(builders.entry("e1", leaving=True), 0.0)
    assert reports.note_answer(("e1", 1), 5.0) is None


def test_the_time_counts_from_the_answer_and_not_from_the_report():
    known, reports = _reports("e1")
    report = leaving_reports.LeavingReport("e1", 1, 1.5)
    assert reports.merge(report, 5.0)
    member = known.get("e1")
    assert member.serves_until_s == 5.0 - 1.5 + DRAIN_S


def test_a_report_of_another_start_binds_nobody():
    known, reports = _reports("e1")
    reports.merge(leaving_reports.LeavingReport("e1", 7), 5.0)
    assert known.is_in_use(known.get("e1"), 5.0)


@pytest.mark.parametrize("age_s", [-1.0, math.nan, math.inf, 1e30, True])
def test_an_age_that_can_be_none_is_refused(age_s):
    known, reports = _reports("e1")
    report = leaving_reports.LeavingReport("e1", 1, age_s)
    with pytest.raises(peer_numbers.BadNumber):
        reports.merge(report, 5.0)
    assert known.is_in_use(known.get("e1"), 5.0)


def test_a_starting_node_is_told_how_long_ago_it_was():
    _, reports = _reports("e1", "e2")
    reports.note_answer(("e1", 1), 5.0)
    reports.note_answer(("e2", 1), 6.0)
    assert reports.known(7.5) == (
        leaving_reports.LeavingReport("e1", 1, 2.5),
        leaving_reports.LeavingReport("e2", 1, 1.5),
    )


def test_reports_are_forgotten_once_their_endpoint_is_gone():
    _, reports = _reports("e1")
    reports.note_answer(("e1", 1), 5.0)
    assert reports.known(5.0 + leaving_reports.KEPT_S + 0.1) == ()


def test_made_up_reports_take_no_more_than_their_room():
    _, reports = _reports()
    for number in range(leaving_reports.MAX_REPORTS + 10):
        reports.merge(leaving_reports.LeavingReport(f"x{number}", 1), 5.0)
    assert len(reports.known(5.0)) == leaving_reports.MAX_REPORTS


# Guards against requests for an endpoint that has told this node that it
# leaves: what others report had taken the room.
def test_an_answer_counts_although_no_room_is_left():
    known, reports = _reports("e1")
    for number in range(leaving_reports.MAX_REPORTS):
        reports.merge(leaving_reports.LeavingReport(f"x{number}", 1), 5.0)
    assert reports.note_answer(("e1", 1), 5.0) is not None
    assert not known.is_in_use(known.get("e1"), 5.0)
    assert reports.note_answer(("e1", 1), 5.5) is None


# Guards against reports that a starting node refuses: an old one that came
# behind a young one.
def test_a_starting_node_is_told_nothing_that_is_too_old():
    _, reports = _reports()
    reports.note_answer(("e1", 1), 5.0)
    age_s = leaving_reports.KEPT_S - 10.0
    reports.merge(leaving_reports.LeavingReport("e2", 1, age_s), 5.0)
    (report,) = reports.known(30.0)
    assert report.endpoint_id == "e1"
    report.check()
