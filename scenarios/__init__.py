"""Scenario language, fakes and history checker for the decision code."""
