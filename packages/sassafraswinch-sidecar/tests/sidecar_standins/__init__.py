"""Stand-ins of the sidecar's tests."""
