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
