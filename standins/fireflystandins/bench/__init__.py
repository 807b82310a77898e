"""Benches of the core's policies against simple baselines."""
