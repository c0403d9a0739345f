#!/usr/bin/env bash
# Plays days of our own on a site and prints a line for each (see README.md).
#   play.sh PATH-OF-FLEETBENCH SITE.toml [DAY...]
set -eu
bench=$1 site=$2
shift 2
cd "$(dirname "$0")/.."
days=("$@")
if [ ${#days[@]} -eq 0 ]; then
  for file in bench/days/*.toml; do days+=("$(basename "$file" .toml)"); done
fi
for day in "${days[@]}"; do
  out=$("$bench" run "$site" "bench/days/$day.toml" --why "own day: $day" 2>&1) || true
  line=$(grep -E "^$day +[0-9]" <<<"$out" | head -1)
  echo "$(basename "$site" .toml) ${line:-$day: no result: $(tail -1 <<<"$out")}"
  # What broke, with the story of the first case.
  grep -A 12 "BROKEN" <<<"$out" | grep -vE "^$day " | head -14 || true
done
