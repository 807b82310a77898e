"""Commands that read the status of running gateway nodes."""

import contextlib
import http.server
import json
import threading

import cappa
import pytest

from fireflypulley.cli import gateways
from fireflypulley.cli import main
from fireflypulley.cli import output


def _page(node, version=4, phase="trial", **changes):
    page = {
        "node": {
            "node": node,
            "nodes_alive": [node, "n9"],
            "nodes_known": [node, "n9"],
            "holds_duty": node == "n1",
        },
        "configuration": {"version": version, "age_s": 1.5},
        "endpoints": [
            {"endpoint": "e1", "no_work_because": "leaving"},
            {"endpoint": "e2", "no_work_because": ""},
        ],
        "evacuations": ["a"],
        "rollouts": [
            {
                "service": "s",
                "target": "v2",
                "phase": phase,
                "answers": 7,
                "is_bad": phase == "undone",
            }
        ],
        "limits": [{"workspace": "w", "left": 5, "burst": 9}],
        "endpoint_limits": [{"endpoint": "e1", "rate_per_s": 2.0}],
        "refused_parts": [{"parts": ["dd"], "endpoints": ["e1", "e2"]}],
        "refused": {"over_limit": 3, "no_key": 1},
    }
    return page | changes


@contextlib.contextmanager
def _nodes(*pages):
    """Serve a status page per node; the pages of a list in sequence."""
    servers = []
    for page in pages:
        remaining = list(page) if isinstance(page, list) else [page]

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self, remaining=remaining):
                body = remaining.pop(0) if len(remaining) > 1 else remaining[0]
                self.send_response(200 if self.path == "/status" else 404)
                self.end_headers()
                self.wfile.write(json.dumps(body).encode())

            def log_message(self, *_):
                pass

        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
    try:
        yield [f"127.0.0.1:{one.server_address[1]}" for one in servers]
    finally:
        for server in servers:
            server.shutdown()
            server.server_close()


def _run(capsys, addresses, *words):
    options = [part for one in addresses for part in ("--node", one)]
    with pytest.raises(cappa.Exit) as exit_info:
        cappa.invoke(main.Main, argv=["gateway", *words, *options])
    return exit_info.value.code, capsys.readouterr().out


@pytest.mark.parametrize("subject", list(gateways.Subject))
def test_every_subject_has_a_row_of_each_node(capsys, subject):
    with _nodes(_page("n1"), _page("n2")) as addresses:
        code, printed = _run(capsys, addresses, "show", subject, "--json")
    assert code == output.ExitCode.OK
    assert {row["node"] for row in json.loads(printed)} == {"n1", "n2"}


def test_why_an_endpoint_gets_no_work_is_shown(capsys):
    with _nodes(_page("n1")) as addresses:
        code, printed = _run(capsys, addresses, "show", "endpoints")
    assert code == output.ExitCode.OK
    assert "leaving" in printed


def test_unreachable_node_is_listed_with_its_problem(capsys):
    with _nodes(_page("n1")) as addresses:
        nodes = [*addresses, "127.0.0.1:1"]
        code, printed = _run(capsys, nodes, "show", "nodes", "--json")
    assert code == output.ExitCode.OK
    first, second = json.loads(printed)
    assert first["node"] == "n1"
    assert "refused" in second["problem"].lower()


def test_all_nodes_unreachable_is_an_error(capsys):
    code, _ = _run(capsys, ["127.0.0.1:1"], "show", "nodes", "--json")
    assert code == output.ExitCode.UNREACHABLE


@pytest.mark.parametrize(
    ("phase", "expected"),
    [("done", output.ExitCode.OK), ("undone", output.ExitCode.UNDONE)],
)
def test_a_rollout_is_followed_to_its_verdict(capsys, phase, expected):
    pages = [
        _page("n2"),
        _page("n2", phase="moving"),
        _page("n2", phase=phase),
    ]
    with _nodes(_page("n1"), pages) as addresses:
        code, printed = _run(capsys, addresses, "follow-rollout", "s")
    assert code == expected
    assert "trial" in printed
    assert f"s to v2: {phase}, 7 answers" in printed


def test_a_rollout_without_a_verdict_fails_after_the_timeout(capsys):
    with _nodes(_page("n1")) as addresses:
        words = ("follow-rollout", "s", "--timeout-s", "0.1")
        code, printed = _run(capsys, addresses, *words)
    assert code == output.ExitCode.FAILED
    assert "no verdict within 0.1 s" in printed


def test_a_configuration_is_followed_until_all_nodes_have_it(capsys):
    behind = [_page("n2", version=3), _page("n2", version=5)]
    with _nodes(_page("n1"), behind) as addresses:
        code, printed = _run(capsys, addresses, "follow-configuration", "4")
    assert code == output.ExitCode.OK
    assert "waiting for n2" in printed
    assert "version 4 in force on 2 nodes" in printed
