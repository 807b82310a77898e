"""What is known of an endpoint: load, silence, doubt."""

from fireflypulley.core.gateway import loads


def test_work_without_a_word_is_silence():
    load = loads.EndpointLoad()
    load.begin(100, 0.0)
    assert not load.silent(loads.SILENCE_S)
    assert load.silent(loads.SILENCE_S + 0.1)
    load.heard(1.0)
    assert not load.silent(1.5)
    load.end()
    assert not load.silent(60.0)


def test_a_lost_endpoint_is_doubted_until_it_is_reached():
    load = loads.EndpointLoad()
    load.failed(True, 0.0)
    assert load.doubted(0.5)
    assert not load.wants_probe(0.5)
    assert load.doubted(60.0)
    assert load.wants_probe(60.0)
    load.probed(False, 60.0)
    assert not load.wants_probe(60.5)
    assert load.wants_probe(60.0 + loads.MAX_DOUBT_S)
    load.probed(True, 65.0)
    assert not load.doubted(65.0)


def test_one_failure_of_an_endpoint_that_answers_is_no_doubt():
    load = loads.EndpointLoad()
    load.failed(False, 0.0)
    assert not load.doubted(0.0)
    load.failed(False, 0.0)
    assert load.doubted(0.0)
    assert not load.doubted(loads.MAX_DOUBT_S)
    load.succeeded()
    assert load.failures == 0


def test_most_peers_make_a_doubt():
    load = loads.EndpointLoad()
    doubting = loads.ReportedLoad(1, 0, True)
    load.take_peer("n1", doubting, 0.0)
    load.take_peer("n2", loads.ReportedLoad(1, 0), 0.0)
    assert not load.doubted(0.0)
    load.take_peer("n3", doubting, 0.0)
    assert load.doubted(0.0)
    assert not load.doubted(loads.PEER_LOAD_LIFE_S)


def test_old_reports_of_peers_do_not_count():
    load = loads.EndpointLoad()
    load.begin(50, 0.0)
    load.take_peer("n1", loads.ReportedLoad(3, 700), 0.0)
    assert load.total_running(1.0) == 4
    assert load.total_waiting_tokens(1.0) == 750
    assert load.total_running(loads.PEER_LOAD_LIFE_S) == 1
