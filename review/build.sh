#!/bin/sh
# Builds the program that runs the cases and holds their stand-ins. The program under test comes from the
# build of the deploy file. The constraint keeps the files out of every default run of tests and checks.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-kit ./review/_kit
