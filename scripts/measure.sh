#!/usr/bin/env bash
# Runs one experiment with fixed seeds and writes its table as text and JSON;
# `cost` measures real processes and writes text only:
# scripts/measure.sh limits|fairness|routing|placement|cost FOLDER
set -euo pipefail
case "${1:-}" in
limits | fairness | routing | placement | cost) ;;
*) set -- ;;
esac
if [ $# -ne 2 ]; then
    echo "usage: $0 limits|fairness|routing|placement|cost FOLDER" >&2
    exit 2
fi
name=$1
mkdir -p "$2"
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ "$name" = cost ]; then
    scripts/measure_cost.sh | tee "$folder/$name.txt"
    exit
fi
program=${TQ_BUILD_DIR:-build}/bin/tq-experiment
seconds=120
# The demand of this experiment moves every 120 s.
if [ "$name" = placement ]; then seconds=600; fi
options=(--seeds 1 2 3 --seconds "$seconds")
"$program" "$name" "${options[@]}" | tee "$folder/$name.txt"
"$program" "$name" "${options[@]}" --json > "$folder/$name.json"
