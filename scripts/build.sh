#!/usr/bin/env bash
# Configures and builds into build/ (or TQ_BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${TQ_BUILD_DIR:-build}
cmake -G Ninja -S . -B "$build" > "$build.configure.log" 2>&1 || {
    cat "$build.configure.log" >&2
    exit 1
}
rm -f "$build.configure.log"
ninja -C "$build" ${TQ_JOBS:+-j "$TQ_JOBS"}
