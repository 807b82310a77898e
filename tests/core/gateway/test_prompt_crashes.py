"""Verdicts on prompt parts, from crashes that nodes report."""

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import prompt_crashes

from . import builders

FIRST, OTHER, DEADLY = "aa", "bb", "dd"
DEADLY_PARTS = frozenset({FIRST, OTHER, DEADLY})
SOUND_PARTS = frozenset({FIRST, OTHER})


def a_report(number, *runs, **fields):
    """Return a report on a crash under runs of workspace w."""
    unbegun = tuple(
        prompt_crashes.UnbegunRun("w", tuple(sorted(parts))) for parts in runs
    )
    return prompt_crashes.CrashReport(f"e{number}", 1, "s", unbegun, **fields)


def crash(crashes, number, *runs, now_s=None):
    """Report a crash that another request of the service outlives."""
    at_s = float(number) if now_s is None else now_s
    assert crashes.merge(a_report(number, *runs), at_s)
    crashes.note_answered("s", {"zz"}, at_s + 0.1)


def crash_three_times(crashes, *runs):
    for number in range(1, 4):
        crash(crashes, number, *runs)


def is_refused(crashes, parts, workspace="w", now_s=4.0):
    return crashes.judge(workspace, frozenset(parts), now_s) is not None


# Guards against requests with one part that crash endpoint after endpoint.
def test_three_crashes_under_one_part_refuse_requests_with_it():
    crashes = prompt_crashes.PromptCrashes()
    crash(crashes, 1, DEADLY_PARTS)
    crash(crashes, 2, DEADLY_PARTS)
    assert not is_refused(crashes, DEADLY_PARTS)
    crash(crashes, 3, DEADLY_PARTS)
    verdict = crashes.judge("w", DEADLY_PARTS, 4.0)
    assert verdict.endpoints == ("e1", "e2", "e3")
    assert verdict.wait_s > 0


def test_a_part_that_was_answered_since_is_not_blamed():
    crashes = prompt_crashes.PromptCrashes()
    crash_three_times(crashes, DEADLY_PARTS)
    crashes.note_answered("s", {FIRST}, 4.0)
    assert crashes.verdicts(4.0)[0].parts == {OTHER, DEADLY}
    crashes.note_answered("s", SOUND_PARTS, 4.0)
    assert not is_refused(crashes, SOUND_PARTS)
    assert is_refused(crashes, {DEADLY})


def test_requests_without_all_common_parts_are_not_refused():
    crashes = prompt_crashes.PromptCrashes()
    crash_three_times(crashes, DEADLY_PARTS)
    assert not is_refused(crashes, SOUND_PARTS)
    assert not is_refused(crashes, {DEADLY})


def test_parts_that_differ_between_the_crashes_are_not_blamed():
    crashes = prompt_crashes.PromptCrashes()
    for number in range(1, 4):
        crash(crashes, number, {FIRST, f"b{number}", DEADLY})
    assert is_refused(crashes, {"cc", FIRST, DEADLY})
    assert not is_refused(crashes, {"cc", FIRST})


def test_sound_runs_that_crashed_beside_are_not_blamed():
    crashes = prompt_crashes.PromptCrashes()
    for number in range(1, 4):
        crash(crashes, number, DEADLY_PARTS, {FIRST, f"c{number}"})
    crashes.note_answered("s", {FIRST}, 4.0)
    assert is_refused(crashes, DEADLY_PARTS)
    assert not is_refused(crashes, {FIRST, "c1"})


# Guards against a clearing that hides what comes after it.
def test_answers_before_a_crash_clear_nothing():
    crashes = prompt_crashes.PromptCrashes()
    crash(crashes, 1, DEADLY_PARTS)
    crashes.note_answered("s", DEADLY_PARTS, 1.5)
    for number in range(2, 5):
        crash(crashes, number, DEADLY_PARTS)
    assert is_refused(crashes, DEADLY_PARTS, now_s=5.0)


# Guards against a failure of many endpoints that is blamed on a request.
def test_crashes_with_no_answer_between_them_count_as_one():
    crashes = prompt_crashes.PromptCrashes()
    for number in range(1, 9):
        crashes.merge(a_report(number, DEADLY_PARTS), 1.0 + number / 100)
    crashes.note_answered("s", {"zz"}, 2.0)
    assert not is_refused(crashes, DEADLY_PARTS)


def test_answers_of_another_service_outlive_no_crash():
    crashes = prompt_crashes.PromptCrashes()
    for number in range(1, 4):
        crashes.merge(a_report(number, DEADLY_PARTS), float(number))
        crashes.note_answered("other", {"zz"}, number + 0.1)
    assert not is_refused(crashes, DEADLY_PARTS)


def test_a_crash_that_several_nodes_report_counts_once():
    crashes = prompt_crashes.PromptCrashes()
    for run in ({FIRST, DEADLY}, {OTHER, DEADLY}, {DEADLY}):
        crashes.merge(a_report(1, run), 1.0)
        crashes.note_answered("s", {"zz"}, 1.1)
    assert not is_refused(crashes, DEADLY_PARTS)
    assert not crashes.is_suspect("w", DEADLY_PARTS)


# Guards against a caller that gets another workspace's part refused.
def test_another_workspace_is_refused_only_after_its_own_crash():
    crashes = prompt_crashes.PromptCrashes()
    crash_three_times(crashes, {DEADLY})
    assert not is_refused(crashes, {DEADLY}, workspace="v")
    own = prompt_crashes.UnbegunRun("v", (DEADLY,))
    crashes.merge(prompt_crashes.CrashReport("e4", 1, "s", (own,)), 4.0)
    crashes.note_answered("s", {"zz"}, 4.1)
    for workspace in "vwu":
        assert is_refused(crashes, {DEADLY}, workspace)


# Guards against a first part that is refused for what rarer parts did, as
# on the day "two" of incident BUDGET, ndiaye-steno seed 5.
def test_a_common_part_is_not_blamed_where_rarer_ones_explain_crashes():
    crashes = prompt_crashes.PromptCrashes()
    second = {"ee", "cc"}
    beside = [{FIRST, f"c{number}"} for number in range(4)]
    crash(crashes, 1, DEADLY_PARTS, *beside)
    crash(crashes, 2, DEADLY_PARTS, *beside)
    crash(crashes, 3, second, *beside)
    crash(crashes, 4, second, *beside)
    crash(crashes, 5, DEADLY_PARTS, *beside)
    crash(crashes, 6, second, *beside)
    assert is_refused(crashes, DEADLY_PARTS, now_s=7.0)
    assert is_refused(crashes, second, now_s=7.0)
    for parts in (*beside, {FIRST}, {"cc"}):
        assert not is_refused(crashes, parts, now_s=7.0)


# Guards against a wrong verdict that stays because it lets nothing through.
def test_a_wrong_verdict_is_tried_soon_by_a_request_that_no_other_covers():
    crashes = prompt_crashes.PromptCrashes()
    crashes.may_try = lambda: True
    for number in range(1, 4):
        crash(crashes, number, {FIRST, f"c{number}"}, {FIRST, f"d{number}"})
    due_s = 3.0 + prompt_crashes.EARLY_TRIAL_AFTER_S
    assert is_refused(crashes, {FIRST}, now_s=due_s - 0.1)
    assert not is_refused(crashes, {FIRST}, now_s=due_s)
    crashes.note_answered("s", {FIRST}, due_s + 0.2)
    assert not is_refused(crashes, {FIRST, "c2"}, now_s=due_s + 0.3)


def test_a_refused_part_is_tried_by_one_node_and_ever_more_rarely():
    crashes = prompt_crashes.PromptCrashes()
    crash_three_times(crashes, {DEADLY})
    crash(crashes, 4, {DEADLY}, now_s=3.0 + 1.5)
    due_s = 4.5 + prompt_crashes.FIRST_TRIAL_AFTER_S
    assert is_refused(crashes, {DEADLY}, now_s=due_s + 1)
    crashes.may_try = lambda: True
    assert is_refused(crashes, {DEADLY}, now_s=due_s - 1)
    assert not is_refused(crashes, {DEADLY}, now_s=due_s)
    assert is_refused(crashes, {DEADLY}, now_s=due_s + 1)
    crash(crashes, 5, {DEADLY}, now_s=due_s + 2)
    again_s = due_s + 2 + 2 * prompt_crashes.FIRST_TRIAL_AFTER_S
    assert is_refused(crashes, {DEADLY}, now_s=again_s - 1)
    assert not is_refused(crashes, {DEADLY}, now_s=again_s)


def test_a_trial_that_is_answered_ends_the_verdict():
    crashes = prompt_crashes.PromptCrashes()
    crash_three_times(crashes, {DEADLY})
    crashes.note_answered("s", {DEADLY}, 130.0)
    assert not is_refused(crashes, {DEADLY}, now_s=131.0)
    assert not crashes.is_suspect("w", frozenset({DEADLY}))


def test_a_node_that_starts_late_knows_the_verdict_and_its_age():
    crashes = prompt_crashes.PromptCrashes()
    crash_three_times(crashes, {DEADLY})
    starting = prompt_crashes.PromptCrashes()
    for report in crashes.known(50.0):
        starting.merge(report, 1000.0)
    verdict = starting.judge("w", frozenset({DEADLY}), 1000.0)
    assert verdict.last_crash_before_s == pytest.approx(47.0)


def test_tables_are_bounded():
    crashes = prompt_crashes.PromptCrashes()
    parts = [f"{number:x}" for number in range(200)]
    for number in range(prompt_crashes.MAX_RECORDS + 5):
        crashes.merge(a_report(number, parts), float(number))
    known = crashes.known(0.0)
    assert len(known) == prompt_crashes.MAX_RECORDS
    most = max(len(run.parts) for one in known for run in one.unbegun)
    assert most == prompt_crashes.MAX_PARTS_PER_RUN
    crashes.forget_old(prompt_crashes.KEPT_S + 1000.0)
    assert not crashes.known(0.0)


def _histories():
    """Return lists of reports as a node with all evidence may send them."""
    parts = strategies.sets(strategies.sampled_from("abcd"), max_size=3)
    report = strategies.builds(
        a_report,
        strategies.integers(1, 4),
        parts,
        parts,
        cleared=strategies.lists(strategies.sampled_from("abcd")).map(tuple),
        outlived=strategies.booleans(),
    )
    return strategies.lists(report, max_size=12)


@hypothesis.given(_histories(), strategies.randoms(use_true_random=False))
def test_nodes_agree_whatever_the_order_of_reports(history, chance):
    one, other = (prompt_crashes.PromptCrashes() for _ in range(2))
    shuffled = history * 2
    chance.shuffle(shuffled)
    for crashes, reports in ((one, history), (other, shuffled)):
        for report in [*reports, *reports]:
            crashes.merge(report, 1.0)
    for parts in ("a", "ab", "abc", "abcd", "bd"):
        for workspace in "wv":
            case = workspace, frozenset(parts)
            assert one.is_suspect(*case) == other.is_suspect(*case)
            assert is_refused(one, parts, workspace) == is_refused(
                other, parts, workspace
            )


# Requests with deadly parts and others, admitted by a scheduler.


def _admit(node_scheduler, parts, now_s=4.0):
    prefix = tuple(calls.PromptPart(part, 10) for part in [*parts, "own"])
    return builders.admitted(node_scheduler, now_s=now_s, prefix=prefix)


def test_a_refused_caller_is_told_when_to_return_and_why():
    node_scheduler = builders.a_scheduler(None, builders.entry("e9"))
    crashes = node_scheduler.prompt_crashes
    for number in range(1, 4):
        run = prompt_crashes.UnbegunRun("", (FIRST, DEADLY))
        report = prompt_crashes.CrashReport(f"e{number}", 1, "s", (run,))
        crashes.merge(report, float(number))
        crashes.note_answered("s", {FIRST}, number + 0.1)
    refusal = _admit(node_scheduler, [FIRST, DEADLY])
    assert refusal.reason is calls.RefusalReason.PART_QUARANTINED
    assert calls.STATUS_BY_REFUSAL[refusal.reason] == 503
    assert refusal.retry_after_s >= prompt_crashes.TRIAL_INTERVAL_S
    assert "part dd crashed e1,e2,e3, last 1.0 s ago" in refusal.detail
    sound = _admit(node_scheduler, [FIRST])
    assert isinstance(sound, calls.AdmittedRequest)
    settled_s = 3.1 + prompt_crashes.SETTLED_AFTER_S
    refusal = _admit(node_scheduler, [FIRST, DEADLY], settled_s)
    assert refusal.retry_after_s > 100


# Guards against a verdict on the part that belongs to the request itself.
def test_the_last_part_of_a_prompt_is_never_blamed():
    node_scheduler = builders.a_scheduler(None, builders.entry("e9"))
    admitted = _admit(node_scheduler, [FIRST])
    assert admitted.shared_part_ids == {FIRST}


def test_requests_without_a_workspace_are_like_each_other():
    route = builders.route(document.RouteKind.STREAM)
    config = builders.a_document(route)
    node_scheduler = builders.a_scheduler(config, builders.entry("e9"))
    assert _admit(node_scheduler, [FIRST]).workspace_name == ""
