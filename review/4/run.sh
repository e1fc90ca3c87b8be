#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
exec bash "$(dirname "$0")/../run-case.sh" cuts review/4/record.txt
