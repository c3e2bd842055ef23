"""Slotted data classes exchanged between tasks and between processes."""
