"""Random faults from outside on sidecars that run as separate processes.

The soak plays the platform's store, the backend servers and the callers, starts the
real program for each host, and checks what callers and servers see. It speaks the
platform's names, so it stands with the tests of the adapter.
"""
