"""The callers' side: requests for models and services, answered once."""
