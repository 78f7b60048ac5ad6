"""Behave features; one promise a feature."""
