"""Demo that runs the complete system in one process."""
