#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
case=$root/build/review/case$(basename "$PWD")
if [ ! -x "$case" ] || [ ! -x "$root/build/reeltack" ]; then
  echo "build the program and then review/build.sh first" >&2
  exit 2
fi
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
timeout -k 2 115 "$case" "$root" "$tmp" "$PWD/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
