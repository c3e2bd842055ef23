"""Demonstration, load generator and measurements."""
