"""Links to peers: gossip, tallies and what operators are told."""
