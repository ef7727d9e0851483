#!/bin/sh
# Builds the program that runs the cases and holds their stand-ins. The program under test comes from the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -o target/review-kit ./review/_kit
