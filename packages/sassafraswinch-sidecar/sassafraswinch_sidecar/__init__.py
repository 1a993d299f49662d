"""Sidecars: relays of HTTP between backend servers, under overload control."""
