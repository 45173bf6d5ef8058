"""Client connections: the listener, the line protocol toward clients, admission by descriptors."""
