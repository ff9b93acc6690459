#!/bin/sh
# What the scripts of cases 6 to 10 start, after the build of deploy/balancer.toml: the project's own programs
# and stand-ins (package ponddoor, run as modules), review/fronts.py and review/standins.py. Nothing is downloaded; it needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q ponddoor review/fronts.py review/standins.py
for n in 6 7 8 9 10; do
  if test -d "review/$n"; then .venv/bin/python -m compileall -q "review/$n"; fi
done
.venv/bin/python -m ponddoor.cli standin media --help >/dev/null
.venv/bin/python -m ponddoor.cli raft serve --help >/dev/null
