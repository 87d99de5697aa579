"""Stand in for the platform, the links and the upstreams, with injectable faults."""
