"""Small fakes on a virtual clock, around the real core decisions."""
