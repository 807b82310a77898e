"""Answers of the platform that are neither a success nor an expected one."""

import pytest
from twisted.internet import defer

from fireflypulley.platform import base
from fireflypulley.platform import http_client
from fireflypulley.platform import http_services

REFUSED = http_client.Reply(429, "", b"too many calls")


class _Http:
    """Answers every call alike."""

    def __init__(self, reply):
        self._reply = reply

    async def request(self, *call):
        return self._reply


def _run(work):
    results = []
    defer.ensureDeferred(work).addBoth(results.append)
    (result,) = results
    return result


# Guards against the text of a refusal that is taken for a job's payload, and
# a payload that counts as stored though the store has refused it.
@pytest.mark.parametrize("code", [301, 400, 403, 429])
def test_a_refusal_of_the_object_store_is_no_success(code):
    reply = http_client.Reply(code, "", b"refused")
    objects = http_services.HttpObjectStore(_Http(reply))
    for work in (
        objects.get("a"),
        objects.put("a", b"x", None),
        objects.delete("a"),
    ):
        assert _run(work).check(base.Unavailable)


def test_an_instance_counts_as_stopped_only_after_a_success():
    cloud = http_services.HttpCloud(_Http(REFUSED))
    assert _run(cloud.stop("i")).check(base.Unavailable)


@pytest.mark.parametrize("code", [200, 201, 204])
def test_a_stored_object_has_its_tag(code):
    reply = http_client.Reply(code, '"1"', b"")
    objects = http_services.HttpObjectStore(_Http(reply))
    assert _run(objects.put("a", b"x", None)) == '"1"'


def test_an_object_that_is_not_there_can_be_deleted():
    reply = http_client.Reply(404, "", b"")
    objects = http_services.HttpObjectStore(_Http(reply))
    assert _run(objects.get("a")) is None
    assert _run(objects.delete("a")) is None
