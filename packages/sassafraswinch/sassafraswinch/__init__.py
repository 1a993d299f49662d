"""Sans-IO core of an overload control layer: no sockets, no tasks, no clock."""
