"""One module per command, imported only when the command runs."""
