#!/usr/bin/env bash
# Plays case 12; exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
CASE_FOLDER=review/12 timeout 118 target/review-3/case-12
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
