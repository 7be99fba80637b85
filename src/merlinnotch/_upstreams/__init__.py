"""Discovery, load reports, admission, HTTP client and ratings of upstreams.

Part of the OpenAI-compatible front door, :mod:`merlinnotch._daemon`.
"""
