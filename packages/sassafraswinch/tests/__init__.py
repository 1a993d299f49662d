"""Tests of the sans-IO core."""
