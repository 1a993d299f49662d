"""Test doubles for the sidecar tests."""
