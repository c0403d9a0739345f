#!/usr/bin/env bash
# Tests that the programs of this tree and of an older revision work in the same fleet, and that each can
# read what the other one wrote:
#   mixed-versions.sh REVISION [RUNS] [SEED]
#
#   1. cometlock-entry: soak tests in which half of the boxes start with the old program, and each
#      restart of a box switches to the other program. Thus owners, hubs, followers and readers of
#      both versions serve one fleet, and each version reads the platform's store as the other
#      version wrote it.
#   2. cometlockd: one fleet with boxes of both versions. Configuration, claims and reviews written by
#      one version are read by the other one, also after all boxes of the writing version are stopped.
#
# Requires Go, git and curl. The ports from PORT on (default 23000) must be free.
set -eu
cd "$(dirname "$0")/.."
revision=${1:?usage: mixed-versions.sh REVISION [RUNS] [SEED]}
runs=${2:-3}
seed=${3:-1}
port=${PORT:-23000}
work=$(mktemp -d)
started=()

# stop PID... terminates the processes and waits for them.
stop() {
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}
clean() {
  local code=$?
  [ ${#started[@]} -eq 0 ] || stop "${started[@]}"
  git worktree remove --force "$work/old-source" 2>/dev/null || true
  [ "$code" -eq 0 ] && rm -rf "$work" || echo "failed; logs are in $work"
}
trap clean EXIT
trap 'exit 143' INT TERM

git worktree add --quiet --detach "$work/old-source" "$revision"
(cd "$work/old-source" && go build -o "$work/old/" ./cmd/...)
go build -o "$work/new/" ./cmd/...

echo "== cometlock-entry: $runs soak tests of both programs in each mode, from seed $seed"
# The soak test starts each box with the path of its settings file, which stays the same across restarts.
# The wrapper counts the starts in a file next to it and selects the program by box number and count.
cat >"$work/either" <<'EITHER'
#!/usr/bin/env bash
starts=$(($(cat "$COMETLOCK_SETTINGS.starts" 2>/dev/null || echo 0) + 1))
echo "$starts" >"$COMETLOCK_SETTINGS.starts"
name=$(sed -n 's/^nodeName=//p' "$COMETLOCK_SETTINGS")
side=$(((${name##*[!0-9]} + starts) % 2))
here=$(dirname "$0")
[ "$side" -eq 0 ] && program=old || program=new
echo "$program $name" >>"$here/starts"
exec "$here/$program/cometlock-entry" "$@"
EITHER
chmod +x "$work/either"
for mode in --ordinary "" --zones --advisories; do
  echo "soak ${mode:-with failures}"
  # shellcheck disable=SC2086 # no mode is no argument
  "$work/new/cometlock-soak" --program "$work/either" --dir "$work" --seed "$seed" --runs "$runs" --boxes 6 $mode
done
echo "starts of each program: $(cut -d' ' -f1 "$work/starts" | sort | uniq -c | tr -s ' \n' ' ')"

echo "== cometlockd: one fleet of both programs"
sed -E "s/127\.0\.0\.1:190([0-9]{2})/127.0.0.1:$((port / 100 + 1))\1/" examples/local.yaml >"$work/config.yaml"
export COMETLOCK_LOG=127.0.0.1:$port COMETLOCK_BOX_LIST=127.0.0.1:$((port + 1))
COMETLOCK_ANSWER_KEYS=$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')
export COMETLOCK_ANSWER_KEYS
zones=(zone-a zone-a zone-b zone-b)
at() { echo "127.0.0.1:$((port + 10 + 10 * $1 + $2))"; } # at BOX PORT: port 0 is for callers, 1 for operators, 2 for peers
boxes=""
for i in 0 1 2 3; do boxes+="entry-$i,${zones[i]},$(at $i 2),$(at $i 1),$(at $i 0);"; done
"$work/old/cometlock-standins" --file "$work/config.yaml" --boxes "$boxes" --log "$COMETLOCK_LOG" --box-list "$COMETLOCK_BOX_LIST" 2>"$work/standins.log" &
started+=($!)
sleep 1

pids=()
# run_box BOX VERSION starts a box with the old or new program.
run_box() {
  "$work/$2/cometlockd" --box "entry-$1" --zone "${zones[$1]}" --listen "$(at "$1" 0)" --admin "$(at "$1" 1)" \
    --peer "$(at "$1" 2)" --drain-delay 0s 2>>"$work/entry-$1-$2.log" &
  pids[$1]=$!
  started+=($!)
}
# swap BOX VERSION stops a box and starts it again with the old or new program.
swap() {
  stop "${pids[$1]}"
  run_box "$1" "$2"
}
# await DESCRIPTION COMMAND... retries the command for up to 30 s, and fails the script if it never succeeds.
await() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then
      echo "ok: $what"
      return
    fi
    sleep 0.2
  done
  echo "FAILED: $what (not within 30 s)"
  exit 1
}
ready() {
  for i in 0 1 2 3; do curl -fsS "http://$(at $i 1)/ready" || return 1; done
}
# agree checks that the command-line tools of both versions report the same names, zones, readiness and
# configuration versions of the boxes.
agree() {
  local old new
  old=$("$work/old/cometlock" status | awk '{print $1,$2,$3,$4}')
  new=$("$work/new/cometlock" status | awk '{print $1,$2,$3,$4}')
  [ "$(grep -c '^entry-' <<<"$new")" -eq 4 ] && [ "$old" = "$new" ]
}
# charge BOX KEY sends a call with an idempotency key, which must run at most once, and prints the response
# headers and body.
charge() {
  curl -isS -m 10 -X POST "http://$(at "$1" 0)/services/booking/charges" -H 'Authorization: Bearer sk-lot-demo' -H "Idempotency-Key: $2" -d '5 euro'
}
# new_key prints a new UUID of version 7.
new_key() {
  local time random
  time=$(printf '%012x' "$(date +%s%3N)")
  random=$(od -An -tx1 -N9 /dev/urandom | tr -d ' \n')
  echo "${time:0:8}-${time:8}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}
replayed() { charge "$1" "$2" | grep -qi '^Cometlock-Replayed: true'; }
accept_review() {
  curl -fsS -m 10 "http://$(at "$1" 0)/v1/responses" -H 'Authorization: Bearer sk-fjordlinje-demo' -H 'Content-Type: application/json' \
    -d '{"model":"scene-review","background":true,"max_output_tokens":30,"input":"A long brief"}' | sed -E 's/.*"id":"(resp_[^"]*)".*/\1/'
}
completed() {
  curl -fsS -m 10 "http://$(at "$1" 0)/v1/responses/$2" -H 'Authorization: Bearer sk-fjordlinje-demo' | grep -q '"status":"completed"'
}
stream() {
  curl -NfsS -m 20 "http://$(at "$1" 0)/v1/chat/completions" -H 'Authorization: Bearer sk-fjordlinje-demo' \
    -d '{"model":"scene-review","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Hello"}]}' | grep -q '\[DONE\]'
}
apply() { "$work/$1/cometlock" apply --wait "$work/config.yaml" >"$work/apply.log"; }
# change VALUE changes one value of the configuration, so that applying it creates a new version.
change() { sed -i -E "s/queue_length: [0-9]+/queue_length: $1/" "$work/config.yaml"; }
serve() { for i in 0 1 2 3; do await "$1: entry-$i streams an answer" stream $i; done; }

for i in 0 1 2 3; do run_box $i "$([ $((i % 2)) -eq 0 ] && echo old || echo new)"; done
sleep 2
apply old
await "a configuration applied by the old program is in force on all boxes" ready
await "both command lines show the same boxes" agree
serve "both"
key_old=$(new_key) key_new=$(new_key)
charge 0 "$key_old" >"$work/charge-old"
charge 1 "$key_new" >"$work/charge-new"
await "the new program replays the response of a claim of the old one" replayed 1 "$key_old"
await "the old program replays the response of a claim of the new one" replayed 2 "$key_new"
review_old=$(accept_review 0)
review_new=$(accept_review 3)
await "the new program returns the result of a review that the old one accepted" completed 3 "$review_old"
await "the old program returns the result of a review that the new one accepted" completed 0 "$review_new"
change 4095
apply new
await "a configuration applied by the new program is in force on all boxes" ready

review_left=$(accept_review 2)
for i in 0 2; do swap $i new; done
await "all boxes run the new program" ready
serve "new"
await "a claim of the old program is replayed after its boxes are replaced" replayed 0 "$key_old"
await "a review that the old program accepted is completed after its boxes are replaced" completed 2 "$review_left"
key_alone=$(new_key)
charge 2 "$key_alone" >"$work/charge-new-alone"
change 4094
apply new
review_left=$(accept_review 1)

for i in 0 1 2 3; do swap $i old; done
await "all boxes run the old program" ready
serve "old"
await "a claim of the new program is replayed after the downgrade" replayed 3 "$key_alone"
await "a review that the new program accepted is completed after the downgrade" completed 0 "$review_left"
echo "passed"
