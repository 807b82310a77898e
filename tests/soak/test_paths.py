"""An endpoint whose links are struck is reached through a proxy."""

import base64
import json

from fireflystandins import replica


def _entry(**fields):
    identity = replica.Identity(
        "s1", "speech", "a", "v1", "127.0.0.1:1", "127.0.0.1:2", **fields
    )
    written = []
    one = replica.Replica(identity)
    one._put = written.append
    one._register()
    return json.loads(base64.b64decode(written[0]["write"][0]["value"]))


def test_an_endpoint_is_entered_with_its_own_address_or_another():
    assert _entry()["address"] == "127.0.0.1:1"
    assert _entry(advertised="127.0.0.1:3")["address"] == "127.0.0.1:3"
