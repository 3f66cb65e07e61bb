#!/usr/bin/env bash
# Builds the cases' stand-ins into build/review, with the compiler that the program is built with. Run it after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
out=../build/review
mkdir -p "$out"
for source in [0-9]/case.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$out/case${source%%/*}"
done
