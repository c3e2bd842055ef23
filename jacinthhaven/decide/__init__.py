"""Decision code as state machines without sockets, driven by messages and time."""
