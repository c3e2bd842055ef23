"""Database proxy with session consistency for replicated database groups.

The packages are layered: kernel and records at the bottom, the decision
code above them, and sockets, processes and the command line on top.
"""
