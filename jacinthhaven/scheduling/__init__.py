"""Decisions under load: what waits, what is refused and what runs where."""
