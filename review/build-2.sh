#!/bin/sh
# Builds what the cases 6 to 10 start beside the node, after the deploy file's own build. All their stand-ins are Python
# programs of this folder (stand.py, */case.py, 7/farm.py) and use the standard library alone; none of the project's own
# stand-ins is started. So the build only compiles them, which also shows that the environment is there.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/stand.py review/6 review/7 review/8 review/9 review/10
