#!/usr/bin/env bash
# Plays the fault soak with seeds FIRST to FIRST + COUNT - 1, one after the
# other; goes on after a failed seed and ends with their list.
# usage: scripts/soak.sh FIRST COUNT
set -euo pipefail
cd "$(dirname "$0")/.."
build=${TQ_BUILD_DIR:-build}
first=${1:?first seed}
count=${2:?number of seeds}
export TQ_BIN_DIR="$PWD/$build/bin" TQ_SOAK_COUNT=1
failed=()
for ((seed = first; seed < first + count; ++seed)); do
    if TQ_SOAK_FIRST=$seed "$build/soak_test" > "$build/soak-$seed.log" 2>&1; then
        echo "seed $seed: passed"
    else
        echo "seed $seed: FAILED, see $build/soak-$seed.log"
        failed+=("$seed")
    fi
done
echo "soak: $((count - ${#failed[@]})) passed, ${#failed[@]} failed: ${failed[*]:-}"
[ ${#failed[@]} -eq 0 ]
