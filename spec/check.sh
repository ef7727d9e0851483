#!/usr/bin/env bash
# Checks every model with spin, and that each mutant is caught. Installs spin
# from Debian's packages when it is missing.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v spin >/dev/null; then
  apt-get update -qq
  apt-get install -y -qq spin
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
passed=0 failed=0

# run MODEL WANT [FLAG ...]: WANT is "holds" or "violated".
run() {
  local model=$1 want=$2 got states
  shift 2
  local dir="$out/$model-$want-${*:-plain}"
  mkdir -p "$dir"
  cp "$model.pml" "$dir/"
  (
    cd "$dir"
    spin -a "$@" "$model.pml" >spin.log 2>&1
    cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -o pan pan.c >cc.log 2>&1
    timeout 120 ./pan -E -m200000 -w22 >pan.log 2>&1 || true
  )
  if grep -q 'assertion violated' "$dir/pan.log"; then
    got=violated
  elif grep -q 'errors: 0' "$dir/pan.log" && ! grep -qE 'max search depth too small|Search not completed' "$dir/pan.log"; then
    got=holds
  else
    got=incomplete
  fi
  states=$(awk '/states, stored/ {print $1; exit}' "$dir/pan.log")
  if [ "$got" = "$want" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    cat "$dir/pan.log"
  fi
  printf '%-8s %-26s wanted %-9s got %-9s %s states\n' "$model" "${*:-as designed}" "$want" "$got" "$states"
}

run permits holds
run permits violated -DNO_HANDOVER
run permits violated -DNO_MINORITY
run permits violated -DNO_LIST
run permits violated -DNO_SETTLE
run permits violated -DNO_RETURN
run lease holds
run lease holds -DFREEZE
run lease violated -DNO_WAIT
run lease violated -DNO_CLOCK
run lease violated -DFREEZE -DNO_FENCE
run claims holds
run claims violated -DNO_FENCE
run claims violated -DGUESS
run config holds
run config violated -DADOPT_ANY
run config violated -DBLIND
run watch holds
run watch violated -DIGNORE_GAPS
run watch violated -DANY_ORDER
run watch violated -DNO_ERA
run outage holds
run outage violated -DWAIT_AFTER_FAILURE
run outage holds -DNO_RECOVERY
run outage violated -DWAIT_FOR_SERVERS
run record holds
run record violated -DUNCONDITIONAL
run record violated -DDROP_CLEARED
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
