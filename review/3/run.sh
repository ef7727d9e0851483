#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/review-kit" ] && [ -x "$root/target/auburnmoor" ] || exit 2
exec "$root/target/review-kit" part-release "$root" "$folder"
