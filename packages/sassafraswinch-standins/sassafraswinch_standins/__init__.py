"""Stand-ins for callers, backend servers and the platform."""
