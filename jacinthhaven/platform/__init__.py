"""Adapter to the users' platform: wire formats and calls, no decisions."""
