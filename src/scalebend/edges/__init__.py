"""Everything that touches sockets, timers or the process environment."""
