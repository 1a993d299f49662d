"""Fault-injection soak test of sidecars that run as separate processes.

The soak runs the real sidecar program for each host, stands in for the platform's
store, the backend servers and the callers, and checks what callers and servers observe
while random faults are injected. It uses the platform's names, so it is kept with the
tests of the adapter.
"""
