"""Lets ``python -m merlinnotch`` run the command line."""

from ._cli.main import main

main()
