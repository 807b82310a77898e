"""Opens a listening port before the rest of the program is imported.

Importing takes most of a node's start-up time.  Callers that connect in
the meantime wait in the backlog instead of being refused.  This module
uses the standard library only, to be quick to import itself.
"""

import socket

BACKLOG = 512


def open_port(host: str, port: int) -> socket.socket:
    """Return a non-blocking listening socket; raises ``OSError``."""
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
