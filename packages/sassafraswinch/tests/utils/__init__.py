"""A fake backend server and figures, shared by tests and the bench of gates."""
