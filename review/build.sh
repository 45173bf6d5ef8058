#!/bin/sh
# The stand-ins are Python programs on the standard library: there is nothing to build but to see that they compile.
cd "$(dirname "$0")" && ../.venv/bin/python -m py_compile kit.py 1/case.py 2/case.py 3/case.py
