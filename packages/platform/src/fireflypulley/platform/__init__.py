"""Clients of the platform's services: table, objects, instances, cloud."""
