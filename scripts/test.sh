#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
build=${TQ_BUILD_DIR:-build}
# Tests that fail because of a known, recorded fault are passed over.
known=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t names < <(sed -n 's/^test: //p' KNOWN-RED.txt)
    if [ ${#names[@]} -gt 0 ]; then
        printf 'known red, passed over: %s\n' "${names[@]}"
        pattern=$(IFS='|'; echo "${names[*]}")
        known=(-E "^($pattern)\$")
    fi
fi
ctest --test-dir "$build" --output-on-failure -j "${TQ_TEST_JOBS:-8}" \
    "${known[@]}"
