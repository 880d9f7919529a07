#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10, the project's own too.
# It needs what the deploy file's build has put under target/deps, and no network.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/deployment \
    testing/platform_engine.py testing/platform_standins.py
PYTHONPATH=target/deps:testing:review/deployment python3 -c "import deployment"
