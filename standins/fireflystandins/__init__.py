"""Stand-ins for the platform and for endpoints, with faults."""
