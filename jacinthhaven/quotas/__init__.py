"""Limits on the operations of each customer over all nodes."""
