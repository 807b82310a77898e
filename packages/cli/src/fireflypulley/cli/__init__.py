"""The operators' command ``fireflypulley``."""
