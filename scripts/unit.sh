#!/usr/bin/env bash
# Runs all tests with the race detector but for those that KNOWN-RED.txt lists, which are
# run apart and only told of. A line of that file is: package | test | command and seed |
# what was seen | cause | issue. It has three lines at most.
set -eu
cd "$(dirname "$0")/.."
red=KNOWN-RED.txt
skip=()
if [ -s "$red" ]; then
  [ "$(wc -l <"$red")" -le 3 ] || { echo "$red has more than three lines"; exit 1; }
  skip=(-skip "^($(cut -d'|' -f2 "$red" | tr -d ' ' | paste -sd'|'))\$")
fi
go test -race -timeout 5m "${skip[@]}" "$@"
[ -s "$red" ] || exit 0
echo "known to fail:"
while IFS='|' read -r package test rest; do
  package=${package// /} test=${test// /}
  if go test -race -timeout 5m -run "^$test\$" "$package" >/dev/null 2>&1 </dev/null; then state="passes now: take it off the list"; else state="fails"; fi
  echo "  $package $test ($state):$rest"
done <"$red"
