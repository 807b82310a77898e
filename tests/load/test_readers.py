"""Reading profiles: their shares, and what a plan may say of them."""

import collections
import random

import pytest

from fireflypulley.core import findings
from fireflystandins.load import arrivals
from fireflystandins.load import plans
from fireflystandins.load import readers

BASE = """[load]
duration_s = 100
seed = 3
[kind fetch]
path = /fetch/
rate_per_s = 20
"""
PROFILES = """[reader phone]
share = 0.25
manner = steady
bytes_per_s = 20000
receive_buffer_bytes = 16384
[reader tunnel]
share = 0.1
manner = pauses
pause_s = 1.5
every_bytes = 100000
[reader stuck]
share = 0.05
manner = never
stay_s = 5
[reader gone]
share = 0.1
manner = leaves
after_bytes = 5000
"""


def _read(tmp_path, text):
    path = tmp_path / "load.ini"
    path.write_text(text)
    return plans.read(path)


def _findings(tmp_path, text):
    """Return the line, the option and the problem of each finding."""
    with pytest.raises(findings.InvalidInput) as caught:
        _read(tmp_path, BASE + text)
    lines_before = BASE.count("\n")
    return [
        (finding.line - lines_before, finding.option, finding.problem)
        for finding in caught.value.findings
    ]


def test_profiles_are_read(tmp_path):
    plan = _read(tmp_path, BASE + PROFILES)
    phone = plan.readers["phone"]
    assert isinstance(phone, readers.Steady)
    assert phone.bytes_per_s == 20000
    assert phone.receive_buffer_bytes == 16384
    assert plan.readers["tunnel"].pause_s == 1.5
    assert plan.readers["stuck"].stay_s == 5.0
    assert plan.readers["gone"].after_bytes == 5000


def test_callers_have_a_profile_by_share(tmp_path):
    requests = arrivals.arrivals(_read(tmp_path, BASE + PROFILES))
    counts = collections.Counter(arrival.reader for arrival in requests)
    shares = {name: count / len(requests) for name, count in counts.items()}
    assert shares == pytest.approx(
        {"phone": 0.25, "tunnel": 0.1, "stuck": 0.05, "gone": 0.1}
        | {readers.PLAIN: 0.5},
        abs=0.03,
    )


def test_profiles_follow_from_the_seed_and_move_no_request(tmp_path):
    plan = _read(tmp_path, BASE + PROFILES)
    requests = arrivals.arrivals(plan)
    assert requests == arrivals.arrivals(plan)
    plain = arrivals.arrivals(_read(tmp_path, BASE))
    assert [one.at_s for one in requests] == [one.at_s for one in plain]
    assert {one.reader for one in plain} == {readers.PLAIN}
    other = _read(tmp_path, BASE.replace("seed = 3", "seed = 4") + PROFILES)
    names = [arrival.reader for arrival in requests]
    assert names != [one.reader for one in arrivals.arrivals(other)]


def test_shares_of_one_leave_no_plain_caller():
    whole = readers.Whole(share=1, manner="whole")
    rng = random.Random(1)
    chosen = {readers.choose({"a": whole}, rng) for _ in range(1000)}
    assert chosen == {"a"}


@pytest.mark.parametrize(
    ("options", "option", "line"),
    [
        ("share = 0.5\nmanner = whole\npause_s = 1", "pause_s", 4),
        ("share = 0.5\nmanner = steady", "bytes_per_s", 1),
        ("share = 0.5\nmanner = steady\nbytes_per_s = 0", "bytes_per_s", 4),
        ("share = 0\nmanner = whole", "share", 2),
        ("share = nan\nmanner = whole", "share", 2),
        ("share = 1.5\nmanner = whole", "share", 2),
        ("manner = whole", "share", 1),
        ("share = 0.5\nmanner = never\nstay_s = inf", "stay_s", 4),
        ("share = 0.5\nmanner = never\nstay_s = 601", "stay_s", 4),
        ("share = 0.5\nmanner = leaves\nafter_bytes = x", "after_bytes", 4),
        (
            "share = 0.5\nmanner = whole\nreceive_buffer_bytes = -1",
            "receive_buffer_bytes",
            4,
        ),
        ("share = 0.5\nmanner = pauses\npause_s = 1", "every_bytes", 1),
    ],
)
def test_a_bad_option_is_a_finding_at_its_line(
    tmp_path, options, option, line
):
    found = _findings(tmp_path, f"[reader a]\n{options}\n")
    assert [finding[:2] for finding in found] == [(line, option)]


@pytest.mark.parametrize("manner", ["", "manner = asleep\n"])
def test_a_manner_that_is_not_known_is_a_finding(tmp_path, manner):
    ((_, option, problem),) = _findings(
        tmp_path, f"[reader a]\nshare = 0.5\n{manner}"
    )
    assert option == "manner"
    assert "manner" in problem


@pytest.mark.parametrize("title", ["reader", f"reader {readers.PLAIN}"])
def test_a_profile_needs_a_name_of_its_own(tmp_path, title):
    found = _findings(tmp_path, f"[{title}]\nshare = 0.5\nmanner = whole\n")
    assert [finding[0] for finding in found] == [1]
    assert "a name other than" in found[0][2]


def test_shares_beyond_one_are_a_finding(tmp_path):
    parts = (
        f"[reader r{number}]\nshare = {share}\nmanner = whole\n"
        for number, share in enumerate((0.1, 0.2, 0.7, 0.1))
    )
    ((line, option, problem),) = _findings(tmp_path, "".join(parts))
    assert (line, option) == (11, "share")
    assert problem == "the shares up to here are 1.1, more than 1"
