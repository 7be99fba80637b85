"""Process of one instance on the platform: assembly, tasks and peer messages."""
