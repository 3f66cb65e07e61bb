#!/usr/bin/env bash
# The check on the length of files. Usage: file_length_test.sh PATH-OF-.ci/check-file-length
set -euo pipefail
readonly check=$1
root=$(mktemp -d)
trap 'rm -rf "$root"' EXIT
mkdir -p "$root"/{.ci,src/part,include,adapter,tools,bench,tests}

write_file() {  # PATH LINES
  seq "$2" > "$root/$1"
}
list() {  # CONTENT
  printf '%s' "$1" > "$root/.ci/long-files"
}
expect_pass() {  # CASE
  "$check" "$root" > "$root/printed" || { echo "$1: refused:"; cat "$root/printed"; exit 1; }
}
expect_breach() {  # CASE EXPECTED-LINE
  if "$check" "$root" > "$root/printed"; then echo "$1: accepted"; exit 1; fi
  grep -qxF "$2" "$root/printed" || { echo "$1: expected '$2', found:"; cat "$root/printed"; exit 1; }
}

list ''
write_file src/part/fits.cpp 250
expect_pass "a file of 250 lines"

for file in src/part/long.cpp src/part/long.h include/long.h adapter/long.cpp tools/long.cpp bench/long.cpp tests/long.c; do
  write_file "$file" 251
  expect_breach "a file of 251 lines" "$file: 251 lines; 250 at most: split it by responsibility"
  rm "$root/$file"
done

write_file src/part/old.cpp 300
list $'# a comment\n\nsrc/part/old.cpp 300\n'
expect_pass "a listed file of its length"
write_file src/part/old.cpp 299
expect_pass "a listed file that shrank"
write_file src/part/old.cpp 301
expect_breach "a listed file that grew" "src/part/old.cpp: grew from 300 to 301 lines"
write_file src/part/old.cpp 250
expect_breach "a listed file that fits" "src/part/old.cpp: has 250 lines: take it off .ci/long-files"
rm "$root/src/part/old.cpp"
expect_breach "a listed file that is gone" ".ci/long-files: src/part/old.cpp does not exist: take it off"

write_file src/part/old.cpp 300
list $'src/part/old.cpp 300\nsrc/part/old.cpp 400\n'
expect_breach "a file listed twice" ".ci/long-files: src/part/old.cpp is listed twice"
list $'src/part/old.cpp\n'
expect_breach "an entry without a length" '.ci/long-files: expected "PATH LINES", found "src/part/old.cpp"'
