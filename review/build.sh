#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs that use the standard
# library alone, so they are only compiled here. Runs after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file"
done
