"""HTTP pages for the load balancer, metrics collector and operators."""

import collections.abc

from twisted.web import resource
from twisted.web import server


class Page(resource.Resource):
    """A page whose status and text are computed for each request."""

    isLeaf = True

    def __init__(
        self, read: collections.abc.Callable[[], tuple[int, bytes]]
    ) -> None:
        super().__init__()
        self._read = read

    def render_GET(self, request: server.Request) -> bytes:
        """Set the response status; return the page's text."""
        status, text = self._read()
        request.setResponseCode(status)
        request.setHeader("Content-Type", "text/plain; charset=utf-8")
        return text


def create(pages: dict[str, Page]) -> server.Site:
    """Return a site that serves pages by name."""
    root = resource.Resource()
    for name, page in pages.items():
        root.putChild(name.encode(), page)
    site = server.Site(root)
    site.displayTracebacks = False
    site.noisy = False
    return site
