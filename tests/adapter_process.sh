#!/usr/bin/env bash
# Usage: adapter_process.sh ADAPTER
set -u
adapter=$1
failed=0
empty='\x00\x00\x00\x01\x00\x00\x00\x01\xf5\x68\xbf\x90\x00\x00\x00\x04\x00\x00\x00\x00'

# expect NAME STATUS REPLY_HEX STDERR_PATTERN INPUT
expect() {
  local out status
  out=$(printf "$5" | "$adapter" 2>/tmp/stderr.$$ | od -An -tx1 | tr -d ' \n'; exit "${PIPESTATUS[1]}")
  status=$?
  if [ "$status" != "$2" ] || [ "$out" != "$3" ] || [[ ! "$(cat /tmp/stderr.$$)" =~ $4 ]]; then
    echo "FAILED $1: status $status, reply '$out', stderr: $(cat /tmp/stderr.$$)"
    failed=1
  fi
  rm -f /tmp/stderr.$$
}
reply=000000010000000400000000
out=$(printf '' | "$adapter" | wc -c); [ "$?" = 0 ] && [ "$out" = 0 ] || { echo "FAILED end of input between frames"; failed=1; }
out=$(printf "$empty" | "$adapter" | od -An -tx1 | tr -d ' \n'); [ "$out" = $reply ] || { echo "FAILED empty batch: $out"; failed=1; }
expect "cut header" 1 $reply 'header of frame 1, at byte 3' "$empty"'\x00\x00\x00'
expect "cut body" 1 "" 'within frame 0, at byte 22' \
  '\x00\x00\x00\x01\x00\x00\x00\x01\xf5\x68\xbf\x90\x00\x00\x00\x44\x00\x00\x00\x01\x09\x00'
expect "record overruns" 1 "" 'frame 0: .*at byte 25' \
  '\x00\x00\x00\x01\x00\x00\x00\x01\xf5\x68\xbf\x90\x00\x00\x00\x09\x00\x00\x00\x01\x09\x00\x00\x00\x04'
expect "unknown code skipped" 0 $reply '^$' \
  '\x00\x00\x00\x01\x00\x00\x00\x01\xf5\x68\xbf\x90\x00\x00\x00\x0b\x00\x00\x00\x01\x63\x00\x00\x00\x02\x01\x02'
expect "never launched" 0 $reply 'instance 3, which was not launched' \
  '\x00\x00\x00\x01\x00\x00\x00\x01\xf5\x68\xbf\x90\x00\x00\x00\x1a\x00\x00\x00\x02\x09\x00\x00\x00\x04\x00\x00\x00\x03\x02\x00\x00\x00\x08\x00\x00\x00\x00\x00\x00\x00\x01'
exit $failed
