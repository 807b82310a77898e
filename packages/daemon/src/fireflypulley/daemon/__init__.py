"""The daemon: settings, sockets and timers around the core."""
