#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x build/reeltack ] || [ ! -x build/review-2/case-10 ]; then
  echo "build first: the deploy file's build, then review/build-2.sh"
  exit 2
fi
timeout -s KILL 118 build/review-2/case-10 "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
