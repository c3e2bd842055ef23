"""Randomized soak of the real processes with faults from outside."""
