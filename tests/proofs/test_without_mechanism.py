"""Each guarantee fails once the mechanism that ensures it is disabled.

With the mechanism, the same cells pass in tests/fault_matrix.
"""

import pytest

from fireflypulley.core import dispatch
from fireflypulley.core import jobs
from fireflypulley.core import leases
from fireflypulley.core import ledger
from fireflypulley.core import pauses
from fireflypulley.core import poison
from fireflypulley.core import pool
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import retries
from fireflypulley.core import serving
from fireflypulley.core import warmup
from fireflystandins.virtual import matrix
from fireflystandins.virtual import node

SEEDS = (1, 2, 3)


def findings(cell: dict[str, str]) -> str:
    """Return the findings of a cell for all seeds, as one text."""
    lists = [matrix.run_cell(cell, seed)[0] for seed in SEEDS]
    return "\n".join(line for lines in lists for line in lines)


@pytest.fixture
def without(monkeypatch):
    def replace(owner, name, value):
        monkeypatch.setattr(owner, name, value)

    return replace


def test_claims_keep_filings_to_one_run(without):
    without(retries, "may_retry", lambda progress, outcome: True)
    assert "times" in findings({"filing": "service-killed"})


def test_ledger_keeps_returning_callers_to_one_run(without):
    def run_again(self, request_id, record, row, now_s):
        del self._records[request_id]
        return [ledger.SettledClaim(request_id, ledger.Claim.GRANTED)]

    without(ledger.Ledger, "_other_row", run_again)
    assert "ran 2 times" in findings({"filing": "node-killed"})


def test_refusal_follows_what_was_sent(without):
    without(requests.Progress, "run", problems.Run.NOT_RUN)
    text = findings({"filing": "service-killed"})
    assert "refused as not run, but ran" in text


def test_budget_keeps_cold_endpoints_from_overload(without):
    without(warmup.Warmup, "is_warm", lambda self, endpoint_id: True)
    assert "more than it bears" in findings({"accept": "endpoint-killed"})


def test_lease_keeps_two_nodes_from_granting(without):
    def always_grant(lease, holder, asked_s, ttl_s):
        return leases.Lease(holder, 1, asked_s + ttl_s)

    without(leases, "renewal", always_grant)
    cell = {"accept": "endpoint-killed", "drain": "node-cut-off"}
    assert "more than it bears" in findings(cell)


def test_return_to_cold_is_detected(without):
    without(pool.Pool, "looks_cold", lambda self, state: False)
    assert "more than it bears" in findings({"stream": "cold-again"})


def test_leaving_endpoints_get_no_new_work(without):
    without(pool.EndpointState, "leaving", False)
    assert "went to leaving" in findings({"accept": "reclaim-wave"})


def test_drained_domains_get_no_new_work(without):
    def ignore_drains(self, endpoint, version, now_s):
        spec = endpoint.endpoint
        return spec.version == version and not endpoint.leaving

    without(dispatch.Dispatcher, "_allowed", ignore_drains)
    assert "went to drained" in findings({"drain": "store-down"})


def test_paused_node_does_not_act_on_stale_state(without):
    without(pauses.PauseGuard, "blocks_dispatch", lambda self, now_s: False)
    assert "went to drained" in findings({"stream": "node-paused"})


def test_facts_carry_a_drain_while_the_store_is_down(without):
    without(node.VirtualNode, "_spread", lambda self, action: None)
    assert "went to drained" in findings({"drain": "store-down"})


def test_poison_is_quarantined(without):
    without(poison, "CRASHES_TO_SUSPECT", 99)
    without(poison, "CRASHES_TO_QUARANTINE", 99)
    without(retries, "MAX_ATTEMPTS", 99)
    assert "poison crashed" in findings({"accept": "poison"})


def test_cut_attempt_is_retried(without):
    without(retries, "MAX_ATTEMPTS", 1)
    assert "accepted and lost" in findings({"stream": "endpoint-killed"})


def test_streams_move_before_their_endpoint_leaves(without):
    without(serving.Serving, "_move_if_due", lambda self, p, now_s: [])
    without(retries, "may_retry", lambda progress, outcome: False)
    assert findings({"stream": "reclaim-wave"})


def test_jobs_of_a_dead_node_are_taken_over(without):
    def only_unowned(self, job, now_s):
        return not job.owner and self._members.owns(job.job_id, now_s)

    without(jobs.Jobs, "_may_take", only_unowned)
    assert "is running" in findings({"checkpoint": "node-killed"})
