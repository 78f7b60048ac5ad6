"""Node applications, which create and connect the tasks of a node."""
