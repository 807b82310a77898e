"""Plays seeded disruptions to real processes and checks the rules."""
