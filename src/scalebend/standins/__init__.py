"""Small stand-ins for the engines and services that callers use."""
