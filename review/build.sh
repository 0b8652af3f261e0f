#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They use nothing but the Python standard library, the
# project's own stand-ins in umberward/local and the packages of the deploy file's build
# (target/deps), so that building is compiling them and checking that all of them can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
[ target/deps -nt requirements.txt ] || python3 -m pip install -q -U --target target/deps -r requirements.txt
python3 -m compileall -q umberward review
PYTHONPATH=target/deps:.:review python3 -c "import standins.cluster, standins.users"
