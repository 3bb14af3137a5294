"""The command line: argument parsing only; each command lives in commands/."""
