"""Client connections: the listener, the line protocol toward clients, and admission by file descriptors."""
