"""Streams of engines: complete, truncated, malformed or mixed up."""

import hypothesis
from hypothesis import strategies

from fireflypulley.endpoints import frames

ID = "abc.n1.1"


def event(text: str, attempt: str = ID, finish: str = "null") -> bytes:
    delta = f'{{"delta":{{"content":"{text}"}},"finish_reason":{finish}}}'
    return f'data: {{"id":"{attempt}","choices":[{delta}]}}'.encode()


def stream(count: int) -> bytes:
    parts = [event(f"w{n}") for n in range(count)]
    parts += [event("", finish='"stop"'), frames.DONE]
    return b"".join(part + b"\n\n" for part in parts)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    marks = sorted({0, len(data), *(p % (len(data) + 1) for p in places)})
    return [data[a:b] for a, b in zip(marks, marks[1:])]


@hypothesis.given(
    strategies.integers(0, 9),
    strategies.lists(strategies.integers(0, 5000), max_size=20),
)
def test_complete_stream_in_any_pieces(count, places):
    reader = frames.FrameReader(ID)
    data = stream(count)
    events = [f for piece in cut(data, places) for f in reader.feed(piece)]
    assert reader.state is frames.State.COMPLETE
    assert len(events) == count + 1


@hypothesis.given(strategies.integers(0, 3000))
def test_truncated_stream_is_not_complete_and_shows_no_end(place):
    data = stream(6)
    place = min(place, len(data) - 2)
    reader = frames.FrameReader(ID)
    events = reader.feed(data[:place])
    assert reader.state is frames.State.OPEN
    assert not any(b'"finish_reason":"stop"' in frame for frame in events)


def test_answer_of_another_request_is_garbage():
    reader = frames.FrameReader(ID)
    events = reader.feed(event("w", attempt="other.n1.1") + b"\n\n")
    assert (events, reader.state) == ([], frames.State.INVALID)


def test_comments_and_crlf_are_understood():
    reader = frames.FrameReader(ID)
    data = b": ping\r\n\r\n" + event("w") + b"\r\n\r\n"
    assert len(reader.feed(data)) == 1


# Guards against two events that pass for one, so that all later ones have a
# number that is too low: the two characters of a line end came apart.
@hypothesis.given(strategies.lists(strategies.integers(0, 5000), max_size=20))
@hypothesis.example([len(event("w0")) + 3])
@hypothesis.example([len(event("w0")) + 1])
def test_crlf_in_any_pieces(places):
    reader = frames.FrameReader(ID)
    data = stream(3).replace(b"\n", b"\r\n")
    events = [f for piece in cut(data, places) for f in reader.feed(piece)]
    assert reader.state is frames.State.COMPLETE
    assert events == frames.FrameReader(ID).feed(stream(3))


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_give_only_own_events(data):
    reader = frames.FrameReader(ID)
    events = reader.feed(data)
    assert all(ID.encode() in frame for frame in events)
