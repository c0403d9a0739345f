#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts into target/, beside the platform's build.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-unrecorded ./review/1/unrecorded
go build -o target/review-restored ./review/2/restored
go build -o target/review-latearrival ./review/3/latearrival
go build -o target/review-heldorder ./review/4/heldorder
