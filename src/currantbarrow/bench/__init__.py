"""Benchmarks of policies, of ownership schemes and of resource usage."""
