"""Socket setup shared by all packages."""
