"""Command line of the proxy."""
