"""Decision logic as sans-I/O state machines driven by messages and time."""
