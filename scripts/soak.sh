#!/usr/bin/env bash
# Plays the fault soak with seeds FIRST to FIRST + COUNT - 1, one after the
# other; goes on after a failed seed and ends with their list.
# usage: scripts/soak.sh [--endpoints] FIRST COUNT
# --endpoints: play endpoint_soak_test, whose endpoints leave and pause, instead
# of soak_test.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${TQ_BUILD_DIR:-build}
program=soak_test
if [ "${1:-}" = --endpoints ]; then
    program=endpoint_soak_test
    shift
fi
first=${1:?first seed}
count=${2:?number of seeds}
export TQ_BIN_DIR="$PWD/$build/bin" TQ_SOAK_COUNT=1
failed=()
for ((seed = first; seed < first + count; ++seed)); do
    if TQ_SOAK_FIRST=$seed "$build/$program" > "$build/$program-$seed.log" 2>&1; then
        echo "seed $seed: passed"
    else
        echo "seed $seed: FAILED, see $build/$program-$seed.log"
        failed+=("$seed")
    fi
done
echo "soak: $((count - ${#failed[@]})) passed, ${#failed[@]} failed: ${failed[*]:-}"
[ ${#failed[@]} -eq 0 ]
