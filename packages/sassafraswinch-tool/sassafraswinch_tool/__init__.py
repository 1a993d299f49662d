"""Command-line tool for operators, and the Python API behind its commands."""
