"""A randomized soak test: instance processes under injected faults."""
