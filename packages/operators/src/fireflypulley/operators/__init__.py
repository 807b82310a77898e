"""The operators' interface: templates, changes and the HTTP API."""
