"""Composition of the decision code and the adapters into one process."""
