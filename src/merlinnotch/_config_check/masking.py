"""Masking of API keys, which must not be printed whole."""

SHOWN_CHARACTERS = 4


def mask_key(api_key):
    """Return the first characters of *api_key*, at most half of it."""
    return api_key[: min(SHOWN_CHARACTERS, len(api_key) // 2)] + "..."
