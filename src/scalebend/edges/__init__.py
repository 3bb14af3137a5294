"""Input and output: sockets, timers, files and the process environment."""
