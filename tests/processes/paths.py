"""Ways of one real node to replicas, which can be cut for it alone.

The node reads the store through a view that names other addresses for the
replicas: those of forwarders that only this node uses.
"""

import base64
import contextlib
import http.client
import http.server
import json
import threading

CALL_TIMEOUT_S = 30.0
HOP_HEADERS = ("connection", "content-length", "transfer-encoding")


class _Handler(http.server.BaseHTTPRequestHandler):
    """Passes a call on, and changes the addresses in what it returns."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self._pass_on()

    def do_POST(self):
        self._pass_on()

    def log_message(self, *arguments):
        pass

    def _pass_on(self):
        length = int(self.headers.get("content-length", 0))
        body = self.rfile.read(length)
        fields = {
            name: value
            for name, value in self.headers.items()
            if name.lower() not in HOP_HEADERS
        }
        upstream = http.client.HTTPConnection(
            self.server.store, timeout=CALL_TIMEOUT_S
        )
        try:
            upstream.request(self.command, self.path, body, fields)
            reply = upstream.getresponse()
            self._respond(reply, self.server.change(reply.read()))
        finally:
            upstream.close()

    def _respond(self, reply, body):
        self.send_response(reply.status)
        for name, value in reply.getheaders():
            if name.lower() not in HOP_HEADERS:
                self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _StoreView(http.server.ThreadingHTTPServer):
    """The store as one node sees it."""

    daemon_threads = True

    def __init__(self, store, addresses):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.store = store
        self._addresses = addresses

    def handle_error(self, request, client_address):
        """Say nothing of connections that a node closed as it ended."""

    def change(self, body):
        """Return a body with the addresses of the node's own ways."""
        answer = json.loads(body) if body else None
        if not isinstance(answer, dict) or "rows" not in answer:
            return body
        for row in answer["rows"]:
            if row.get("table") == "servers" and "value" in row:
                row["value"] = self._change_value(row["value"])
        return json.dumps(answer).encode()

    def _change_value(self, encoded):
        entry = json.loads(base64.b64decode(encoded))
        address = entry.get("address")
        entry["address"] = self._addresses.get(address, address)
        return base64.b64encode(json.dumps(entry).encode()).decode()


class CutWays:
    """A node whose ways to the replicas are its own."""

    def __init__(self, node, forwarders):
        self.node = node
        self._forwarders = forwarders

    def cut(self):
        """Reset the node's connections to replicas, and refuse new ones."""
        for process in self._forwarders:
            process.popen.kill()
        for process in self._forwarders:
            process.popen.wait()


@contextlib.contextmanager
def node_with_own_ways(system, name, replicas, **options):
    """Start a node whose ways to some replicas can be cut."""
    forwarders = [
        system.start_forwarder(replica.address) for replica in replicas
    ]
    addresses = {
        replica.address: forwarder.address
        for replica, forwarder in zip(replicas, forwarders)
    }
    store = system.store
    view = _StoreView(store, addresses)
    thread = threading.Thread(target=view.serve_forever, daemon=True)
    thread.start()
    system.store = f"127.0.0.1:{view.server_port}"
    try:
        node = system.start_node(name, **options)
    finally:
        system.store = store
    try:
        yield CutWays(node, forwarders)
    finally:
        view.shutdown()
        view.server_close()
