"""The ledger's tasks: claims, bills and who runs what."""
