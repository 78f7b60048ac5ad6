"""Randomized soak test with real processes and injected faults."""
