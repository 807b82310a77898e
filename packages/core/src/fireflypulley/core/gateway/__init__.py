"""Decisions of the HTTP gateway: routes, limits, placing, duties."""
