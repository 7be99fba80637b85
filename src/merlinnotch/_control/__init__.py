"""Tasks that apply revisions, quarantine faulty versions and send orders."""
