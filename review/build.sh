#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs only
# the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra "$case" -o "target/review/$number" -pthread
done
