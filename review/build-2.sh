#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into build/review-2, after the build of the deploy file. From any folder.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$here")
out=$root/build/review-2
mkdir -p "$out"
for n in 6 7 8 9 10; do
  [ -e "$here/$n/case.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -I"$here/common-2" -o "$out/case-$n" "$here/$n/case.cpp"
done
