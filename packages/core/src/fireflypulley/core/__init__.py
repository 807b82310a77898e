"""The decision logic of a node, without I/O, clock or randomness."""
