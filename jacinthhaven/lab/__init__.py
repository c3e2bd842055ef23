"""Experiments: a load and faults played against the decisions of a proxy."""
