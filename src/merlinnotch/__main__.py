"""Entry point of ``python -m merlinnotch``."""

from ._cli.main import main

main()
