"""Stand-ins for engines and services, for the demo, measurements and tests."""
