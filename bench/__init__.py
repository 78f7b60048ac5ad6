"""Measurements; each gives figures that are held against stated bounds."""
