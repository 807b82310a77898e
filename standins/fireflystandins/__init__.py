"""Small stand-ins of the platform and of endpoints, with faults."""
