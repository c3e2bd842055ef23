"""Adapters: sockets, wire codecs and clients of external protocols.

All of them run on the circuits event loop through `poller.Poller`.
"""
