"""Every decision of a node, with no I/O, no clock and no chance."""
