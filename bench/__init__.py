"""Benchmarks whose figures are compared with stated bounds."""
