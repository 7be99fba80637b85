"""Connections between instances, gossip, tallies and status reports."""
