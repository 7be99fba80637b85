"""Access to the ledger: log writers, delivery of bills, and known runs of requests."""
