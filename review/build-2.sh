#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/.
# Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[6-9]/case.cpp review/10/case.cpp; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -I review "$case" \
        -o "target/review-2/$number" -pthread
done
