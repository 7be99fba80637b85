"""The callers' HTTP interface: parsing, deduplication and answering of requests.

Part of the OpenAI-compatible front door, :mod:`merlinnotch._daemon`.
"""
