#!/usr/bin/env bash
# Fails if code outside platform/ contains names of the platform's protocols, or if a package other than
# a main package imports platform/: the code for the platform's protocols must be in one folder.
# X-Request-Id is not checked: many systems use this header, including the engines of this system.
set -eu
cd "$(dirname "$0")/.."
words='Store-Era|X-Deadline-Ms|X-Model|X-Token-Usage|X-Prompt-Prefix|X-Expect-Instance|X-Not-Run|X-Server-Stamp|X-Instance-Id|X-Tenant|Expect-Version|Cache-Salt|Kv-Fetch|Kv-Save|Kv-Until|Kv-From|Kv-Backup|Pin-Ms|/-/(log|kv|report|order)|keyed\.(op|servers)|coldRemainingMs|pathPrefix|maxAttempts|kvStoreAddr|kvTokenBytes|nextPageToken|expectedRev|internalPortRange|machineClass'
found=$(grep -rnE "$words" --include='*.go' cmd internal || true)
imports=$(grep -rln '"github.com/cometlock/cometlock/platform' --include='*.go' internal || true)
if [ -n "$found$imports" ]; then
  printf 'names of the platform'"'"'s protocols outside platform/:\n%s\n%s\n' "$found" "$imports"
  exit 1
fi
lines=$(find platform -name '*.go' ! -name '*_test.go' ! -path 'platform/standin/*' -exec cat {} + | wc -l)
[ "$lines" -le 1500 ] || { echo "platform/ has $lines lines; the limit is 1500"; exit 1; }
