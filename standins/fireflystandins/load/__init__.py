"""Sends load to gateway nodes on loopback and injects faults."""
