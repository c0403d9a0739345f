#!/usr/bin/env bash
# Starts eight daemons in four availability zones and one process of stand-ins, for testing
# failures by hand. On exit it stops the processes that it started, by process id.
#   fleet.sh          runs until interrupted
#   fleet.sh SECONDS  runs for this number of seconds
set -eu
cd "$(dirname "$0")/.."
export COMETLOCK_LOG=127.0.0.1:8183 COMETLOCK_BOX_LIST=127.0.0.1:8184
COMETLOCK_ANSWER_KEYS=$(od -An -tx1 -N32 /dev/urandom | tr -d ' \n')
export COMETLOCK_ANSWER_KEYS
zones=(oslo-a oslo-b oslo-c oslo-d oslo-a oslo-b oslo-c oslo-d)
boxes=""
for i in 1 2 3 4 5 6 7 8; do
  base=$((8200 + 10 * i))
  boxes+="entry-$i,${zones[$((i - 1))]},127.0.0.1:$((base + 2)),127.0.0.1:$((base + 1)),127.0.0.1:$base;"
done
started=()
stop() {
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT
trap 'exit 143' INT TERM
mkdir -p bin/logs
./bin/cometlock-standins --file examples/fjordlinje.yaml --boxes "$boxes" --apply 2>bin/logs/standins.log &
started+=($!)
for i in 1 2 3 4 5 6 7 8; do
  base=$((8200 + 10 * i))
  ./bin/cometlockd --box "entry-$i" --zone "${zones[$((i - 1))]}" --listen 127.0.0.1:$base \
    --admin 127.0.0.1:$((base + 1)) --peer 127.0.0.1:$((base + 2)) --drain-delay 0s 2>"bin/logs/entry-$i.log" &
  started+=($!)
done
sleep 3
./bin/cometlock status
cat <<'TRY'

Callers on 127.0.0.1:8210, 8220 … 8280; logs in bin/logs. Try, in another shell:
  export COMETLOCK_LOG=127.0.0.1:8183 COMETLOCK_BOX_LIST=127.0.0.1:8184
  bin/cometlock status
  bin/cometlock apply --wait examples/fjordlinje.yaml
  curl -X PUT 127.0.0.1:8183/faults -d '{"down":true}'     # the log goes down
  curl -X PUT 127.0.0.1:19100/faults -d '{"leaving":true}' # a runner leaves
TRY
if [ $# -gt 0 ]; then sleep "$1"; else wait; fi
