"""Message streams between fireflypulley nodes."""
