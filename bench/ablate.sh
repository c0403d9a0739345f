#!/usr/bin/env bash
# Plays days with each mechanism of an entry box switched off alone, and prints what each
# is worth:
#
#     JOBS=4 bench/ablate.sh PATH-OF-FLEETBENCH FOLDER "DAY..." "SEED..." SITE.toml...
#
# The deploy file names what is off while days are played, and is as before at the end.
# Reports go into FOLDER, one folder for each mechanism and site in it, so that a run that
# was broken off goes on where it was. Seed 0 stands for the day's own.
set -eu
bench=$1 folder=$2 days=$3 seeds=$4
shift 4
deploy=deploy/system.toml
kept=$(mktemp)
cp "$deploy" "$kept"
trap 'cp "$kept" "$deploy"' EXIT
for off in none $(go run ./cmd/cometlock-bench mechanisms); do
  cp "$kept" "$deploy"
  [ "$off" = none ] || echo "env = { COMETLOCK_OFF = \"$off\" }" >>"$deploy"
  for site in "$@"; do
    reports=$folder/$off/$(basename "$site" .toml)
    mkdir -p "$reports"
    for day in $days; do
      for seed in $seeds; do
        [ -s "$reports/$day-$seed.json" ] && continue
        chosen=""
        [ "$seed" = 0 ] || chosen="--seed $seed"
        echo "$bench run $site $day $chosen --report $reports/$day-$seed.json --why 'ablation: without $off' >$reports/$day-$seed.txt 2>&1"
      done
    done
  done | xargs -d '\n' -P "${JOBS:-4}" -I{} bash -c "{}"
done
cp "$kept" "$deploy"
go run ./cmd/cometlock-bench ablation "$folder"
