"""The daemon: runs the core with settings, sockets and timers."""
