"""Tests of the soak's checkers."""
