"""Sidecars: HTTP relays between backend servers with overload control."""
