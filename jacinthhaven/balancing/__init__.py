"""Decisions on how load is divided between zones and servers."""
