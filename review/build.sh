#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, which git ignores. They use the standard
# library alone, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/lab"
mkdir -p ../../target
GOWORK=off go build -o ../../target/reviewlab .
