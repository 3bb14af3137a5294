"""Decision logic of fronts, control instances and relays, without I/O."""
