"""Abstract base classes of the outside systems that the proxy talks to."""
