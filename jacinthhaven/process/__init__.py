"""Processes that wire the decision code to the adapters."""
