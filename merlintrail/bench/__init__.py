"""Benches: each prints its figures as JSON lines."""
