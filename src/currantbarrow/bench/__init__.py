"""Benchmark policies, ownership schemes and resource usage."""
