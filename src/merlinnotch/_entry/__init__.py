"""The instance that the platform runs."""
