#!/usr/bin/env bash
# Builds, as a test binary, every stand-in that the scripts of review/6 and later start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -tags review -o target/review-2/stage ./review/_kit2
