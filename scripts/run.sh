#!/usr/bin/env bash
# Starts one daemon with the sample configuration and stand-ins for everything
# around it, prints a request to try, and ends it with the script.
set -eu
cd "$(dirname "$0")/.."
./bin/cometlockd --zone zone-a --box entry-a1 --standins examples/local.yaml \
  --listen 127.0.0.1:8080 --admin 127.0.0.1:8081 --peer 127.0.0.1:8082 \
  --log 127.0.0.1:8083 --box-list 127.0.0.1:8084 --drain-delay 0s &
daemon=$!
trap 'kill -TERM "$daemon" 2>/dev/null; wait "$daemon"' EXIT
trap 'exit 143' INT TERM
for _ in $(seq 100); do
  if ./bin/cometlock status --boxes 127.0.0.1:8081 >/dev/null 2>&1 &&
    ./bin/cometlock status --boxes 127.0.0.1:8081 -o json | grep -q '"ready": true'; then
    cat <<'TRY'

cometlock is ready: callers on 127.0.0.1:8080, operators on 127.0.0.1:8081. Try:

  curl -N http://127.0.0.1:8080/v1/chat/completions \
    -H 'Authorization: Bearer sk-fjordlinje-demo' \
    -d '{"model":"scene-review","stream":true,"messages":[{"role":"user","content":"Hello"}]}'

TRY
    break
  fi
  sleep 0.1
done
wait "$daemon"
