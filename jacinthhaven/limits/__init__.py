"""Accounting of what connections hold, and decisions on their limits."""
