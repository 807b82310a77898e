"""Plays load and faults against gateway nodes on loopback."""
