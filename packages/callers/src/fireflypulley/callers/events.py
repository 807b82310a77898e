"""Encodes and decodes the server-sent events of answers."""

import json
import typing

EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"
_DATA = b"data: "


def add_ids(frames: list[bytes], first: int) -> bytes:
    """Return the frames as events with ids from ``first`` upwards."""
    return b"".join(
        [
            b"id: %d\n%s\n\n" % (first + index, frame)
            for index, frame in enumerate(frames)
        ]
    )


def first_id(transcript: bytes) -> int:
    """Return the id of the first event."""
    line = transcript.partition(b"\n")[0]
    return int(line.removeprefix(b"id: "))


def missing_events(transcript: bytes, last_event_id: int) -> bytes:
    """Return the events that follow the given event id."""
    next_id_line = b"id: %d\n" % (last_event_id + 1)
    if transcript.startswith(next_id_line):
        return transcript
    position = transcript.find(EVENT_END + next_id_line)
    return b"" if position < 0 else transcript[position + len(EVENT_END) :]


def _chunks(transcript: bytes) -> list[dict[str, typing.Any]]:
    chunks = []
    for event in transcript.split(EVENT_END):
        position = event.find(_DATA)
        if position >= 0:
            chunks.append(json.loads(event[position + len(_DATA) :]))
    return chunks


def _text(chunk: dict[str, typing.Any]) -> str:
    choices = chunk.get("choices") or [{}]
    delta = choices[0].get("delta") or {}
    return str(delta.get("content") or choices[0].get("text") or "")


def text_of(transcript: bytes) -> str:
    """Return the text contained in the events."""
    return "".join(_text(chunk) for chunk in _chunks(transcript))


def completion(transcript: bytes) -> bytes:
    """Return the events joined into one chat completion document."""
    chunks = _chunks(transcript)
    last = chunks[-1] if chunks else {}
    choices = last.get("choices") or [{}]
    message = {
        "role": "assistant",
        "content": "".join(_text(chunk) for chunk in chunks),
    }
    return json.dumps(
        {
            "id": last.get("id", ""),
            "object": "chat.completion",
            "choices": [
                {
                    "index": 0,
                    "message": message,
                    "finish_reason": choices[0].get("finish_reason"),
                }
            ],
            "usage": last.get("usage"),
        }
    ).encode()
