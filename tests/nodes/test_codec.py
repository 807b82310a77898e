"""Messages round-trip through the codec; malformed bytes are rejected."""

import tracemalloc

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import usage
from fireflypulley.core.gateway import versions
from fireflypulley.core import job_rows
from fireflypulley.core import payload
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.nodes import codec
from fireflypulley.nodes import messages

REQUEST = requests.Request(
    "r", "w", "ask", "m", topology.ServiceKind.MODEL, 9.0, "f"
)
FACTS = (
    facts.Warmth("e", 1, True),
    facts.Leaving("e", 5.0),
    facts.Suspicion("f", 2, 9.0),
    facts.Suspicion("f", 3, 9.0, ("e/5",)),
    facts.Suspicion("f", 3, 9.0, ("e/5",), True),
    facts.Evidence(
        "r",
        "n",
        1,
        (facts.ArmCount("x", facts.Arm.NEW, 1, 2, 3, facts.Measure.PAUSE),),
        9.0,
    ),
    facts.Trip("r", "x", "failures", 9.0),
    facts.NodeDown("n", 1, True, 9.0),
    facts.NodeLeaving("n", 1, 9.0),
    configuration.Entry(
        configuration.EntryKind.DOMAIN,
        "d",
        3,
        "op",
        configuration.Domain(True, 1.0),
    ),
    versions.PhaseReached("s/v2/7", versions.Phase.MOVING, 9.0),
    versions.PhaseReached("s/v2/8", versions.Phase.DONE, 9.0, True),
)
JOB = job_rows.Job("j", "w", "r", "m", "f", 1.0, 2.0)
CRASH = prompt_crashes.CrashReport(
    "e",
    5,
    "s",
    (prompt_crashes.UnbegunRun("w", ("a", "b")),),
    ("a",),
    True,
    1.5,
)
LIMIT = endpoint_limits.EndpointLimit("e", 5, 7, 1.5)
MESSAGES = (
    messages.Hello("n", 1, messages.Purpose.PEER, b"\xff" * 32),
    messages.Proof((b"\x00\xff",)),
    messages.Proof((b"\x00\xff",), ("a feature",)),
    messages.Heartbeat(),
    messages.Facts(FACTS),
    messages.SlotAsk("e", 1.0, False),
    messages.SlotAnswer("e", True, 2.0),
    messages.SlotReturn("e", 2.0, None),
    messages.KeyHeld("k", "n"),
    messages.KeyQuestion(1, "k", True),
    messages.KeyAnswer(1, None),
    messages.FetchAsk(1, "k", -1),
    messages.FetchData(1, b"\xfe"),
    messages.FetchData(1, b"\xfe", 7),
    messages.FetchEnd(1, True),
    messages.FetchEnd(1, True, sent_bytes=8),
    messages.Handover(
        REQUEST,
        payload.Payload("POST", "/", "", b"\xff"),
        "k",
        3,
        b"\xf0",
        JOB,
    ),
    messages.HandoverTaken("r"),
    messages.CrashReports((CRASH,)),
    messages.LeavingReports((leaving_reports.LeavingReport("e", 5, 0.5),)),
    messages.UsageReports((usage.UsageReport(7, {"w": 3}),)),
    messages.LimitReports(
        (LIMIT, endpoint_limits.EndpointLimit("e", 5, 8, None)),
    ),
    messages.TunnelRequest("e1", 17),
    messages.TunnelResponse("connection refused", True),
    messages.TunnelData(b"\xff\x00"),
    messages.TunnelEnd(),
    messages.TunnelEnd(4711),
    messages.TunnelResponse("", carries_for_s=2.5),
    messages.TunnelClosing(),
    messages.TunnelClosing(2.5),
    messages.PermitRequest(3, LIMIT, ("n", "m")),
    messages.PermitResponse(3, 0.25, "m", ("n",)),
    messages.States(
        (
            node_states.NodeState(
                "n",
                5,
                7,
                {"e": (1, 200, 1)},
                {"w": 2.5},
                {7: {"w": 3}},
                {"t": 9},
                {"s": 1},
                True,
            ),
            node_states.NodeState("m", 5, 8, None, {}, {}, {}, {}),
        )
    ),
    messages.Rows(
        "t",
        9,
        False,
        (
            rows.FollowedRow("t", "k", 8, b"\xff"),
            rows.FollowedRow("t", "l", 9, None),
        ),
    ),
    messages.Introduction((peer_registry.NodeEntry("n", "h:1", "a", 5),)),
)


def _subclasses(base: type) -> set[str]:
    return {cls.__name__ for cls in base.__subclasses__()}


def test_every_fact_and_message_is_sampled():
    known = {type(sample).__name__ for sample in (*FACTS, *MESSAGES)}
    assert _subclasses(facts.Fact) | _subclasses(messages.Message) == known


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_round_trips_in_any_pieces(message):
    data = codec.encode(message)
    complete = codec.Reader(codec.MAX_MESSAGE_BYTES)
    assert complete.feed(data) == [message]
    pieces = codec.Reader(codec.MAX_MESSAGE_BYTES)
    decoded = [
        m for i in range(len(data)) for m in pieces.feed(data[i : i + 1])
    ]
    assert decoded == [message]


@hypothesis.given(strategies.binary(max_size=200))
def test_bytes_give_messages_or_bad_message(data):
    reader = codec.Reader(4096)
    try:
        decoded = reader.feed(data)
    except codec.BadMessage:
        return
    assert all(isinstance(message, messages.Message) for message in decoded)


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=12,
)
_NAMES = strategies.sampled_from(
    sorted({type(sample).__name__ for sample in (*FACTS, *MESSAGES)})
)


@hypothesis.given(_NAMES, _JSON)
def test_fields_of_any_shape_give_messages_or_bad_message(name, fields):
    for packed in ([name, fields], ["Facts", [[name, fields]]]):
        reader = codec.Reader(1 << 20)
        try:
            reader.feed(msgpack.packb(packed))
        except codec.BadMessage:
            pass


def test_a_proof_of_an_older_node_names_no_features():
    (proof,) = codec.Reader(4096).feed(
        msgpack.packb(["Proof", {"signatures": [b"s"]}])
    )
    assert proof == messages.Proof((b"s",))


def test_fields_that_this_version_does_not_know_are_ignored():
    (proof,) = codec.Reader(4096).feed(
        msgpack.packb(["Proof", {"signatures": [b"s"], "later": 1}])
    )
    assert proof == messages.Proof((b"s",))


PIECES = 100
PIECE_BYTES = 16 << 10


# Guards against nodes that run out of memory by the buffers of hundreds of
# streams, of which each takes a megabyte.
def test_a_reader_holds_no_more_than_a_few_messages():
    encoded = codec.encode(messages.TunnelData(b"x" * PIECE_BYTES))
    codec.Reader(codec.MAX_MESSAGE_BYTES).feed(encoded)
    tracemalloc.start()
    try:
        reader = codec.Reader(codec.MAX_MESSAGE_BYTES)
        for _ in range(PIECES):
            assert len(reader.feed(encoded)) == 1
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes <= 6 * PIECE_BYTES


STREAMS = 100
STOPPED_BYTES = 8 << 10
STREAM_BYTES = 2 << 10
"""What a reader may take beside the bytes of a message."""


def _traced_bytes(act):
    """Return what the objects take that an act returns."""
    tracemalloc.start()
    try:
        kept = act()
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert kept
    return held_bytes


# Guards against nodes that run out of memory by what the readers of streams
# take beside the messages that they read.
@pytest.mark.parametrize("part_bytes", [0, STOPPED_BYTES])
def test_readers_hold_little_more_than_unfinished_messages(part_bytes):
    encoded = codec.encode(messages.TunnelData(b"x" * PIECE_BYTES))

    def act():
        readers = []
        for _ in range(STREAMS):
            reader = codec.Reader(codec.MAX_MESSAGE_BYTES)
            assert len(reader.feed(encoded + encoded[:part_bytes])) == 1
            readers.append(reader)
        return readers

    held_bytes = _traced_bytes(act)
    assert held_bytes <= STREAMS * (part_bytes + STREAM_BYTES)


# Guards against a reader that loses its place between messages of any size
# in reads of any size.
@hypothesis.given(
    strategies.lists(strategies.integers(0, 100_000), max_size=12),
    strategies.integers(1, 70_000),
)
def test_messages_of_all_sizes_arrive_in_reads_of_any_size(sizes, read_bytes):
    sent = [
        messages.TunnelData(bytes([number]) * size_bytes)
        for number, size_bytes in enumerate(sizes)
    ]
    data = b"".join(codec.encode(message) for message in sent)
    reader = codec.Reader(codec.MAX_MESSAGE_BYTES)
    received = []
    for start in range(0, len(data), read_bytes):
        received += reader.feed(data[start : start + read_bytes])
    assert received == sent


# Guards against a reader that holds a message beyond its bound because it
# arrives in parts.
@pytest.mark.parametrize("read_bytes", [1000, 40_000, 200_000])
def test_a_message_beyond_the_bound_is_rejected(read_bytes):
    encoded = codec.encode(messages.TunnelData(b"x" * 150_000))
    reader = codec.Reader(100_000)
    with pytest.raises(codec.BadMessage):
        for start in range(0, len(encoded), read_bytes):
            reader.feed(encoded[start : start + read_bytes])
