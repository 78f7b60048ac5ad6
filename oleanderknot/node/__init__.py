"""The node application and its life cycle."""
