"""Command-line interface; one module for each command."""
