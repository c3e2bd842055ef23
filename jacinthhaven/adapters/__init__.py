"""Sockets, codecs and external protocols on the circuits poller."""
