"""Decision logic without I/O: takes messages and the current time, returns actions."""
