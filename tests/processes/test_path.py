"""Requests end to end through real processes, with kills and outages."""

import http.client
import json
import threading
import time
import urllib.parse

import pytest

from fireflystandins import engine
from fireflystandins import local

pytestmark = pytest.mark.processes

PROMPT = "a late hearing"


def chat(
    system: local.LocalSystem,
    daemon: local.Daemon,
    tokens: int = 40,
    stream: bool = True,
    **headers: str,
) -> tuple[int, bytes, dict[str, str]]:
    body = {
        "model": "shorthand",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    path = "/v1/chat/completions"
    return system.call(daemon, "POST", path, body, **headers)


def first_id(
    system: local.LocalSystem, daemon: local.Daemon, tokens: int, key: str
) -> int:
    """Return the id of a stream's first event, as one more caller gets it."""
    host = urllib.parse.urlsplit(daemon.callers).netloc
    connection = http.client.HTTPConnection(host, timeout=30)
    body = {
        "model": "shorthand",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    headers = {
        "Authorization": f"Bearer {local.CALLER_TOKEN}",
        "Idempotency-Key": key,
    }
    connection.request(
        "POST", "/v1/chat/completions", json.dumps(body), headers
    )
    line = connection.getresponse().readline()
    connection.close()
    return int(line.removeprefix(b"id: "))


def text_of(events: bytes) -> str:
    parts = []
    for line in events.splitlines():
        if line.startswith(b"data: {"):
            choice = json.loads(line[6:])["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


def full_text(tokens: int) -> str:
    return "".join(engine.token(PROMPT, n) for n in range(tokens))


def executions(system: local.LocalSystem, endpoint_id: str) -> dict[str, int]:
    address = system.endpoints[endpoint_id].address
    url = f"http://{address}/executions"
    return json.loads(local.http("GET", url)[1])


def submit_filing(
    system: local.LocalSystem, daemon: local.Daemon, key: str
) -> tuple[int, dict]:
    status, body, _ = system.call(
        daemon,
        "POST",
        "/services/filing/filings",
        {"case": 1},
        Idempotency_Key=key,
    )
    return status, json.loads(body)


def wait_for_stream(system: local.LocalSystem, tokens: int) -> str:
    def check() -> str | None:
        for name, process in system.endpoints.items():
            if not process.alive or not name.startswith("shorthand"):
                continue
            url = f"http://{process.address}/load"
            report = json.loads(local.http("GET", url)[1])
            if report["running"] and report["tokens_total"] >= tokens:
                return name
        return None

    return local.wait_for("a stream half-way", check, 10)


def in_background(work):
    results = []
    thread = threading.Thread(target=lambda: results.append(work()))
    thread.start()
    return thread, results


def test_answer_is_streamed_or_returned_as_one_document(system):
    daemon = system.daemons[0]
    status, events, _ = chat(system, daemon)
    assert status == 200
    assert text_of(events) == full_text(40)
    assert events.endswith(b"data: [DONE]\n\n")
    status, body, _ = chat(system, daemon, stream=False)
    message = json.loads(body)["choices"][0]["message"]
    assert (status, message["content"]) == (200, full_text(40))


def test_endpoint_killed_while_streaming(system):
    daemon = system.daemons[0]
    thread, results = in_background(lambda: chat(system, daemon, 120))
    system.endpoints[wait_for_stream(system, 20)].kill()
    thread.join()
    assert results[0][0] == 200
    assert text_of(results[0][1]) == full_text(120)


def test_announced_reclaim_moves_the_stream(system):
    daemon = system.daemons[0]
    thread, results = in_background(lambda: chat(system, daemon, 400))
    victim = wait_for_stream(system, 20)
    system.announce_leave([victim], time.time() + 3.0)
    time.sleep(3.0)
    system.endpoints[victim].kill()
    thread.join()
    assert text_of(results[0][1]) == full_text(400)


def test_reconnect_at_another_node_continues_the_stream(system):
    first, second = system.daemons[0], system.daemons[1]
    thread, results = in_background(
        lambda: chat(system, first, 150, Idempotency_Key="k1")
    )
    wait_for_stream(system, 20)
    ninth = first_id(system, first, 150, "k1") + 9
    status, events, _ = chat(
        system, second, 150, Idempotency_Key="k1", Last_Event_ID=str(ninth)
    )
    thread.join()
    assert status == 200
    assert events.startswith(b"id: %d\n" % (ninth + 1))
    assert text_of(results[0][1]) == full_text(150)
    assert full_text(150).endswith(text_of(events))
    before = system.metrics(second).get("fireflypulley_accepted_total")
    assert before == 0


def test_graceful_shutdown_cuts_no_stream(system):
    daemon = system.daemons[0]
    thread, results = in_background(lambda: chat(system, daemon, 150))
    wait_for_stream(system, 20)
    daemon.signal(15)
    thread.join()
    assert text_of(results[0][1]) == full_text(150)
    assert daemon.popen.wait(20) == 0


def test_filing_runs_once_from_two_nodes_at_once(system):
    calls = [
        in_background(lambda d=daemon: submit_filing(system, d, "f1"))
        for daemon in system.daemons
    ]
    for thread, _ in calls:
        thread.join()
    assert [results[0][0] for _, results in calls] == [200, 200, 200]
    assert executions(system, "filing-1") == {"f1": 1}


def test_filing_cut_after_it_ran_is_unknown_and_never_repeated(system):
    address = system.endpoints["filing-1"].address
    system.set_faults(address, cut_after_run=1)
    status, body = submit_filing(system, system.daemons[0], "f2")
    assert (status, body["run"]) == (502, "unknown")
    status, body = submit_filing(system, system.daemons[1], "f2")
    assert (status, body["run"]) == (502, "unknown")
    assert executions(system, "filing-1") == {"f2": 1}


def test_filing_refused_as_not_run_while_the_store_is_down(system):
    platform = system.platform.address
    system.set_faults(platform, down=True)
    status, body = submit_filing(system, system.daemons[0], "f3")
    assert (status, body["run"]) == (503, "not-run")
    assert executions(system, "filing-1") == {}
    system.set_faults(platform, down=False)

    def accepted() -> bool:
        return submit_filing(system, system.daemons[1], "f3")[0] == 200

    local.wait_for("the filing is accepted", accepted)
    assert executions(system, "filing-1") == {"f3": 1}


def test_lost_claim_response_is_resolved(system):
    system.set_faults(system.platform.address, lose_answers=1)
    status, _ = submit_filing(system, system.daemons[0], "f4")
    assert status == 200
    assert executions(system, "filing-1") == {"f4": 1}


def test_models_are_served_while_the_store_is_down(system):
    system.set_faults(system.platform.address, down=True)
    time.sleep(1.0)
    status, events, _ = chat(system, system.daemons[1])
    assert (status, text_of(events)) == (200, full_text(40))


def test_drained_domain_gets_no_new_work(system):
    code, printed = system.cli("domain", "drain", "dakar-a")
    assert code == 0, printed

    def drained() -> bool:
        listed = [
            json.loads(
                local.http(
                    "GET",
                    f"{d.operators}/v1/domains/dakar-a",
                    headers={
                        "Authorization": f"Bearer {local.OPERATOR_TOKEN}"
                    },
                )[1]
            )["drained"]
            for d in system.daemons
        ]
        return all(listed)

    local.wait_for("drained on all nodes", drained, 3.0)
    address = system.endpoints["shorthand-1"].address
    url = f"http://{address}/load"
    before = json.loads(local.http("GET", url)[1])["tokens_total"]
    for daemon in system.daemons:
        assert chat(system, daemon)[0] == 200
    after = json.loads(local.http("GET", url)[1])["tokens_total"]
    assert after == before


def states_of_nodes(system: local.LocalSystem) -> dict[str, str]:
    code, printed = system.cli("node", "list", "--json")
    if code:
        return {}
    return {n["node_id"]: n["state"] for n in json.loads(printed)}


def seen_down(system: local.LocalSystem, node_id: str) -> bool:
    return states_of_nodes(system).get(node_id) == "down"


def all_seen_alive(system: local.LocalSystem) -> bool:
    states = states_of_nodes(system)
    return bool(states) and set(states.values()) == {"alive"}


def test_paused_node_is_detected_and_rejoins(system):
    paused = system.daemons[2]
    paused.signal(19)

    local.wait_for("node3 is down", lambda: seen_down(system, "node3"), 15)
    assert chat(system, system.daemons[0])[0] == 200
    paused.signal(18)

    local.wait_for("node3 is alive", lambda: all_seen_alive(system), 15)
    assert chat(system, paused)[0] == 200


# Guards against a dead node that counts as alive: it was paused before it had
# a stream to any other node.
def test_node_paused_before_its_first_stream_is_detected(system):
    paused = system.start_daemon("node4", "dakar-d")
    paused.signal(19)
    local.wait_for("node4 is down", lambda: seen_down(system, "node4"), 15)
    assert chat(system, system.daemons[0])[0] == 200
    paused.signal(18)
    local.wait_for("node4 is alive", lambda: all_seen_alive(system), 15)
    system.wait_ready()
    assert chat(system, paused)[0] == 200
