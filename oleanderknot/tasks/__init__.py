"""Tasks that own their sockets and state and are reached by messages."""
