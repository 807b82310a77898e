"""The HTTP gateway between callers and endpoints."""
