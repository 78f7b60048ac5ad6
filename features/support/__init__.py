"""Starts and watches the processes that features run against."""
