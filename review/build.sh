#!/bin/sh
# After the build of the deploy file: checks that all that the scripts start is there.
# The stand-ins are Python and run on the libraries of target/deps; nothing is compiled.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -W ignore -c '
import review.harness
import standins.platform_store
import standins.platform_upstream
import merlinnotch._entry.main
'
