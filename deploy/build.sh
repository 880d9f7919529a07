#!/bin/sh
# Puts the run-time libraries and the product under target/deps.
set -eu
if [ ! -e target/deps/.ready ] || [ deploy/requirements.txt -nt target/deps/.ready ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    touch target/deps/.ready
fi
rm -rf target/deps/copperrun
cp -r src/copperrun target/deps/copperrun
python3 -m compileall -q target/deps/copperrun
