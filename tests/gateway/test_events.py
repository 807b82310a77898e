"""Events of streams with odd ids."""

import pytest

from fireflypulley.gateway import events


@pytest.mark.parametrize(
    ("text", "event_id"),
    [
        (b"7", 7),
        (b"9" * 18, 10**18 - 1),
        (b"9" * 19, None),
        (b"9" * 6000, None),
        (b"\xef\xbc\x97", None),
        (b"-1", None),
    ],
)
def test_only_numbers_of_a_usual_length_are_ids(text, event_id):
    splitter = events.EventSplitter()
    (event,) = splitter.feed(b"id: " + text + b"\ndata: x\n\n")
    assert event.event_id == event_id


LINE_ENDS = [b"\n", b"\r\n", b"\r"]
BLANK_LINES = [
    one + other
    for one in LINE_ENDS
    for other in LINE_ENDS
    if one + other not in LINE_ENDS
]


def _numbered(number, line_end, blank_line):
    return b"id: %d" % number + line_end + b"data: x" + blank_line


def _split(data, size):
    """Return the events that arrive in pieces, and the splitter."""
    splitter = events.EventSplitter()
    found = []
    for start in range(0, len(data), size):
        found += splitter.feed(data[start : start + size])
    return found, splitter


# Guards against two events that pass for one: the second would come twice
# when the stream goes on after the first.
@pytest.mark.parametrize("size", [1, 2, 3, 1000])
@pytest.mark.parametrize("blank_line", [b"\n\n", b"\n\r\n", b"\r\n\r\n"])
def test_a_blank_line_ends_an_event_however_lines_end(blank_line, size):
    first = _numbered(1, b"\n", blank_line)
    second = _numbered(2, b"\n", b"\n\n")
    found, splitter = _split(first + second, size)
    assert [event.event_id for event in found] == [1, 2]
    data = b"".join(event.data for event in found) + splitter.remainder
    assert data == first + second


@pytest.mark.parametrize("size", [1, 2, 3, 1000])
@pytest.mark.parametrize("blank_line", BLANK_LINES)
def test_no_event_is_lost_or_joined_whatever_its_line_ends(blank_line, size):
    line_end = blank_line[:1] if blank_line[1:2] != b"\n" else b"\n"
    data = b"".join(
        _numbered(number, line_end, blank_line) for number in (1, 2, 3)
    )
    found, splitter = _split(data, size)
    assert [event.event_id for event in found] == [1, 2, 3]
    assert b"".join(event.data for event in found) + splitter.remainder == data
    assert not splitter.shows_event_after(3)


def test_of_several_ids_of_an_event_the_last_one_counts():
    (event,) = events.EventSplitter().feed(b"id: 1\nid: 2\ndata: x\n\n")
    assert event.event_id == 2


def test_a_version_before_the_id_is_a_part_of_the_event():
    data = b"weight-versions: 7\nid: 4\ndata: x\n\n"
    (event,) = events.EventSplitter().feed(data)
    assert (event.event_id, event.data) == (4, data)


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_lines_of_comments_alone_are_no_event(line_end):
    data = line_end.join([b": a", b": b", b"", b""])
    (event,), _ = _split(data, len(data))
    assert event.is_comment
    (event,), _ = _split(b": a" + line_end + _numbered(1, b"\n", b"\n\n"), 99)
    assert not event.is_comment
