#!/bin/sh
# Builds the stand-ins of the cases 11 to 14; run it after deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:testing:review/common3
export PYTHONPATH
for folder in review/11 review/12 review/13 review/14; do
    [ -d "$folder" ] && python3 -m compileall -q "$folder"
done
python3 -m compileall -q review/common3 \
    testing/platform_engine.py testing/platform_standins.py testing/soak_proxy.py
python3 -c "import deployment, recovery, streams"
