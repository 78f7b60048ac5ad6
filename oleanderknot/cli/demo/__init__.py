"""The demo: the whole system in one process."""
