"""MIXED speaks of answers that are not as given."""

import pytest

from fireflystandins.soak.checks import mixed

from . import records


@pytest.mark.parametrize(
    "answer",
    [
        {"names": "c2"},
        {"seal": ""},
        {"body": records.events(2) + records.events(1, "c2", 3)},
        {"route": "fetch", "body": b"answer to c2"},
        {"how": "invalid", "status": 0},
    ],
    ids=["id", "seal", "event", "body", "bytes"],
)
def test_mixed_speaks_of_another_answer(answer):
    assert (
        len(
            records.breaks(
                mixed.Mixed(), records.seen([records.answer(**answer)])
            )
        )
        == 1
    )


# Guards against answers without a length that end early and look complete.
@pytest.mark.parametrize(
    "answer",
    [
        {"body": records.events(2)},
        {"body": b""},
        {"body": records.events(2) + b"id: 3\nda"},
        {"body": records.events(3) + b"HTTP/1.1 200 X"},
        {"route": "fetch", "body": b"answer to"},
        {"route": "file", "body": b""},
    ],
    ids=["events", "no-event", "half-an-event", "more", "body", "no-body"],
)
@pytest.mark.parametrize("exits", [{}, {"s1": 101.0}], ids=["", "exited"])
def test_mixed_speaks_of_a_success_that_is_not_whole(answer, exits):
    runs = [records.run(how="dropped", events=2)]
    seen = records.seen([records.answer(**answer)], runs, exits=exits)
    assert len(records.breaks(mixed.Mixed(), seen)) == 1


@pytest.mark.parametrize("how", ["reset", "closed"])
@pytest.mark.parametrize(
    "answer",
    [{"body": records.events(2)}, {"route": "fetch", "body": b"answer"}],
)
def test_mixed_allows_an_answer_that_visibly_ends_early(answer, how):
    seen = records.seen([records.answer(how=how, **answer)])
    assert records.breaks(mixed.Mixed(), seen) == []


@pytest.mark.parametrize(("first", "expected"), [(3, 0), (2, 1)])
def test_mixed_counts_from_the_last_event_of_a_caller(first, expected):
    answer = records.answer(
        body=records.events(4 - first, first=first), last=2
    )
    assert (
        len(records.breaks(mixed.Mixed(), records.seen([answer]))) == expected
    )


def test_mixed_allows_whole_answers():
    whole = [records.answer(), records.answer("fetch", body=b"answer to c1")]
    assert records.breaks(mixed.Mixed(), records.seen(whole)) == []
