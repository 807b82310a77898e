"""An endpoint's load, unresponsiveness and suspicion."""

from fireflypulley.core.gateway import loads


def test_running_requests_without_activity_are_unresponsive():
    load = loads.EndpointLoad()
    load.begin(100, 0.0)
    assert not load.is_unresponsive(loads.UNRESPONSIVE_AFTER_S)
    assert load.is_unresponsive(loads.UNRESPONSIVE_AFTER_S + 0.1)
    load.note_activity(1.0)
    assert not load.is_unresponsive(1.5)
    load.end()
    assert not load.is_unresponsive(60.0)


def test_an_unreachable_endpoint_is_suspected_until_a_probe_succeeds():
    load = loads.EndpointLoad()
    load.failed(True, 0.0)
    assert load.is_suspected(0.5)
    assert not load.is_probe_due(0.5)
    assert load.is_suspected(60.0)
    assert load.is_probe_due(60.0)
    load.note_probe(False, 60.0)
    assert not load.is_probe_due(60.5)
    assert load.is_probe_due(60.0 + loads.MAX_SUSPICION_BACKOFF_S)
    load.note_probe(True, 65.0)
    assert not load.is_suspected(65.0)


def test_a_single_failure_does_not_make_an_endpoint_suspected():
    load = loads.EndpointLoad()
    load.failed(False, 0.0)
    assert not load.is_suspected(0.0)
    load.failed(False, 0.0)
    assert load.is_suspected(0.0)
    assert not load.is_suspected(loads.MAX_SUSPICION_BACKOFF_S)
    load.succeeded()
    assert load.failures == 0


def test_a_majority_of_peers_makes_an_endpoint_suspected():
    load = loads.EndpointLoad()
    doubting = loads.ReportedLoad(1, 0, True)
    load.update_peer("n1", doubting, 0.0)
    load.update_peer("n2", loads.ReportedLoad(1, 0), 0.0)
    assert not load.is_suspected(0.0)
    load.update_peer("n3", doubting, 0.0)
    assert load.is_suspected(0.0)
    assert not load.is_suspected(loads.PEER_LOAD_TTL_S)


def test_expired_reports_of_peers_are_ignored():
    load = loads.EndpointLoad()
    load.begin(50, 0.0)
    load.update_peer("n1", loads.ReportedLoad(3, 700), 0.0)
    assert load.total_running(1.0) == 4
    assert load.total_waiting_tokens(1.0) == 750
    assert load.total_running(loads.PEER_LOAD_TTL_S) == 1
