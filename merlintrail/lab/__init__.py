"""Local deployments for tests and benchmarks, and the test runner.

A deployment consists of node processes, fake backend servers and a fake
store.
"""
