"""Fake backend server, fixtures and metrics shared by tests and benchmarks."""
