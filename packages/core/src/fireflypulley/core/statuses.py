"""Which numbers are the status of an HTTP answer."""

FIRST_FINAL = 200
LAST = 599


def is_final(status: int) -> bool:
    """Return whether an answer with this status may be a final one.

    Any other number is none (RFC 9110, 15), or that of an interim answer.
    """
    return FIRST_FINAL <= status <= LAST
