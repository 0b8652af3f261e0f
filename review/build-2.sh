#!/bin/sh
# Builds what the cases 4 to 8 start beside the controllers: nothing is compiled or fetched. Their
# stand-ins are modules of this repository and use only the libraries that the build line of the
# deploy file has put into target/deps. This checks that they can be imported.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root:$root/target/deps:$root/review/standins-2" \
    python3 -c "import harness"
echo "the stand-ins of the second review can be imported"
