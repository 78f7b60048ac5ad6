"""Stand-ins and processes of the review's scripts."""
