"""Decisions of an overload control layer: no sockets, no tasks, no clock of its own."""
