"""Jobs and handed-over streams through real processes."""

import http.client
import json
import signal
import time
import urllib.parse

import pytest

from fireflystandins import engine
from fireflystandins import local

pytestmark = pytest.mark.processes

PROMPT = "the council's session"
TOKENS = 600


def submit(system, daemon, key: str = "j1") -> dict:
    body = {
        "model": "shorthand",
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    status, answer, _ = system.call(
        daemon, "POST", "/v1/jobs", body, Idempotency_Key=key
    )
    assert status == 202, answer
    return json.loads(answer)


def get_text(system, daemon, job: dict, offset: int = 0) -> dict:
    path = f"{job['location']}/text?offset={offset}"
    status, answer, _ = system.call(daemon, "GET", path)
    assert status == 200, answer
    return json.loads(answer)


def full_text() -> str:
    return "".join(engine.token(PROMPT, n) for n in range(TOKENS))


def any_alive(system):
    return next(d for d in system.daemons if d.alive)


def wait_done(system, job: dict, timeout_s: float = 40.0) -> dict:
    def done():
        answer = get_text(system, any_alive(system), job)
        return answer if answer["state"] == "done" else None

    return local.wait_for("the job is done", done, timeout_s)


def owner_of(system, job: dict):
    def running():
        for daemon in system.daemons:
            lines = daemon.log.read_text().splitlines()
            if any(job["job_id"] in ln and '"taken"' in ln for ln in lines):
                return daemon
        return None

    return local.wait_for("the job runs", running, 15)


def test_job_completes_and_is_read_from_an_offset(system):
    job = submit(system, system.daemons[0])
    assert submit(system, system.daemons[1])["job_id"] == job["job_id"]
    assert wait_done(system, job)["text"] == full_text()
    rest = get_text(system, system.daemons[2], job, offset=100)
    assert rest["text"] == full_text()[100:]


def test_job_of_a_killed_node_resumes_from_its_checkpoint(system):
    job = submit(system, system.daemons[0])
    owner = owner_of(system, job)

    def checkpointed():
        others = [d for d in system.daemons if d is not owner]
        return len(get_text(system, others[0], job)["text"]) > 100

    local.wait_for("a checkpoint", checkpointed, 20)
    owner.kill()
    assert wait_done(system, job)["text"] == full_text()


def test_job_is_handed_over_in_memory_while_the_store_is_down(system):
    job = submit(system, system.daemons[0])
    owner = owner_of(system, job)
    system.set_faults(system.platform.address, down=True)
    owner.signal(15)
    assert owner.popen.wait(25) == 0
    received = [d for d in system.daemons if '"received"' in d.log.read_text()]
    assert received
    system.set_faults(system.platform.address, down=False)
    assert wait_done(system, job)["text"] == full_text()


def test_job_is_refused_as_not_run_while_the_store_is_down(system):
    system.set_faults(system.platform.address, down=True)
    status, answer, headers = system.call(
        system.daemons[0],
        "POST",
        "/v1/jobs",
        {"model": "shorthand", "messages": []},
    )
    assert status == 503
    assert json.loads(answer)["run"] == "not-run"
    assert int(headers["Retry-After"]) >= 1


def test_cancelled_job_stops(system):
    job = submit(system, system.daemons[0])
    owner_of(system, job)
    status, answer, _ = system.call(
        system.daemons[1], "DELETE", job["location"]
    )
    assert (status, json.loads(answer)["state"]) == (200, "cancelled")

    def idle():
        return all(
            json.loads(local.http("GET", f"http://{p.address}/load")[1])[
                "running"
            ]
            == 0
            for name, p in system.endpoints.items()
            if name.startswith("shorthand")
        )

    local.wait_for("the engines are idle", idle, 10)


def test_stream_of_a_leaving_node_goes_on_at_another(hasty_system):
    system = hasty_system
    daemon = system.daemons[0]
    body = {
        "model": "shorthand",
        "stream": True,
        "max_tokens": 900,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    path = "/v1/chat/completions"
    first = read_until_cut(system, daemon, path, body)
    last = int(first.rsplit(b"id: ", 1)[1].split(b"\n")[0])
    status, rest, _ = system.call(
        system.daemons[1],
        "POST",
        path,
        body,
        Idempotency_Key="s1",
        Last_Event_ID=str(last),
    )
    assert status == 200
    assert rest.startswith(b"id: %d\n" % (last + 1))
    found = events_text(first) + events_text(rest)
    assert found == "".join(engine.token(PROMPT, n) for n in range(900))


# Guards against a second run of a stream whose receiver confirmed it late:
# the leaving node had nothing open meanwhile and stopped.
def test_a_leaving_node_stays_until_a_late_receiver_confirms(hasty_system):
    system = hasty_system
    leaving, *receivers = system.daemons
    body = {
        "model": "shorthand",
        "stream": True,
        "max_tokens": 900,
        "messages": [{"role": "user", "content": PROMPT}],
    }

    def freeze_receivers():
        time.sleep(0.9)
        for daemon in receivers:
            daemon.signal(signal.SIGSTOP)
        time.sleep(0.8)
        for daemon in receivers:
            daemon.signal(signal.SIGCONT)
        assert leaving.alive

    read_until_cut(
        system, leaving, "/v1/chat/completions", body, freeze_receivers
    )


def events_text(events: bytes) -> str:
    found = []
    for event in events.split(b"\n\n"):
        place = event.find(b"data: {")
        if place >= 0:
            choice = json.loads(event[place + 6 :])["choices"][0]
            found.append(choice["delta"].get("content", ""))
    return "".join(found)


def read_until_cut(
    system, daemon, path: str, body: dict, after_signal=lambda: None
) -> bytes:
    """Return the whole events that come before the node is gone."""
    host = urllib.parse.urlsplit(daemon.callers).netloc
    connection = http.client.HTTPConnection(host, timeout=30)
    headers = {
        "Authorization": f"Bearer {local.CALLER_TOKEN}",
        "Idempotency-Key": "s1",
    }
    connection.request("POST", path, json.dumps(body), headers)
    reply = connection.getresponse()
    found = b""
    signalled = False
    while True:
        try:
            data = reply.read1(65536)
        except (http.client.HTTPException, OSError):
            break
        if not data:
            break
        found += data
        if len(found) > 2000 and not signalled:
            signalled = True
            daemon.signal(15)
            after_signal()
    assert b"[DONE]" not in found
    return found[: found.rindex(b"\n\n") + 2]
