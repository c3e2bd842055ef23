"""Check of an operator's configuration before it is sent.

The package decides on decoded JSON alone; the command line reads the files and
finds the lines. Keys of tenants are counted and compared, and never part of a
finding.
"""
