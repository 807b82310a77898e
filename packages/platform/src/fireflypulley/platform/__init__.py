"""The platform's services: table, objects, instances, cloud, weights."""
