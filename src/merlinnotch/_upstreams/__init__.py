"""The upstreams' side: attempts, load, the platform's list, ratings."""
