"""Benchmarks, which print figures as JSON lines, and soak tests."""
