"""Tests of the benchmarks and soak tests."""
