"""Streams between the product's own nodes."""
