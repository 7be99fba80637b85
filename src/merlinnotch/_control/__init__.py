"""Tasks that keep revisions, quarantines and orders in force."""
