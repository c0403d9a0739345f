#!/usr/bin/env bash
# Runs each fuzz target of the repository with a fixed number of inputs:
#   fuzz.sh INPUTS
set -eu
cd "$(dirname "$0")/.."
inputs=$1
mkdir -p bin
grep -rlE '^func Fuzz' --include='*_test.go' internal platform | sort | while read -r file; do
  package=./$(dirname "$file")
  grep -oE '^func Fuzz[A-Za-z]+' "$file" | sed 's/func //' | while read -r target; do
    echo "fuzz $package $target: $inputs inputs"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "${inputs}x" -parallel 4 "$package" >bin/fuzz.log 2>&1 </dev/null ||
      { cat bin/fuzz.log; exit 1; }
  done
done
