"""Answers of a replica that begin with any line.

A fault mode is ``line: LINE`` for an answer that is well framed but for its
first line, or ``lone: LINE`` for a head that is all of the answer; the
connection is then closed.
"""

import typing

PREFIXES = ("line: ", "lone: ")


def answer(
    transport: typing.Any, mode: str, fields: dict[str, str], body: bytes
) -> None:
    """Send the answer that a fault mode asks for."""
    kind, _, line = mode.partition(": ")
    lines = [line]
    if kind == "line":
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
    transport.write("\r\n".join([*lines, "", ""]).encode())
    if kind == "line":
        transport.write(body)
    else:
        transport.loseConnection()
