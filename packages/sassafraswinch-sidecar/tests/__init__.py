"""Tests of the sidecars."""
