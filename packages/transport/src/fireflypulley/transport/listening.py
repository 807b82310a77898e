"""A listening port that is open before the program is loaded.

Loading takes most of a node's start.  Callers that connect meanwhile
wait in the port's backlog instead of being turned away.  Only the
standard library is used here, so that this module itself loads at once.
"""

import socket

BACKLOG = 512


def open_port(host: str, port: int) -> socket.socket:
    """Return a socket that listens; raises ``OSError``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
