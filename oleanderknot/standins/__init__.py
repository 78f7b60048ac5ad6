"""Stand-ins for external systems, used by tests, the soak and the demo."""
