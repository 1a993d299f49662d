"""Test doubles of callers, backend servers and the platform, and their test tools."""
