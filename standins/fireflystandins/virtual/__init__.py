"""Simulated nodes, endpoints and store around the real core."""
