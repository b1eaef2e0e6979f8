"""The demonstration of the README."""
