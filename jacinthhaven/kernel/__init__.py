"""Clock, typed failures, plug-in registry and random numbers shared by all layers."""
