"""Helpers that start and observe the processes under test."""
