"""Misbehaving clients of real proxy processes on loopback."""
