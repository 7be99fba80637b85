#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start, after the build of the
# deploy file. They are Python modules, so each is compiled, and imported once.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q standins review/deployment_2.py review/[4-8]
python3 -W ignore -c "
import standins.platform_store, standins.platform_upstream, standins.ports
import review.deployment_2
"
