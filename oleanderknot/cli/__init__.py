"""Command line; one command a file."""
