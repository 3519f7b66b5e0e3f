#!/usr/bin/env bash
# Builds with a sanitizer into its own folder, build-address or build-thread,
# and runs tests there:
#   scripts/sanitize.sh address|thread [TEST...]
# TEST is a name that ctest knows, such as unit.peering. Each process writes
# its reports to build-*/reports; any report fails the script.
set -euo pipefail
cd "$(dirname "$0")/.."
kind=${1:-}
case $kind in
address | thread) shift ;;
*)
    echo "usage: scripts/sanitize.sh address|thread [TEST...]" >&2
    exit 2
    ;;
esac
# Tests that use several threads, and one that runs all programs.
tests=(unit.events unit.metrics unit.platform unit.peering unit.endpoints
    unit.ingress unit.operators integration.path)
if [ $# -gt 0 ]; then tests=("$@"); fi

build=build-$kind
targets=()
for test in "${tests[@]}"; do
    name=${test#*.}
    case $test in
    unit.*) targets+=("${name}_tests") ;;
    integration.*)
        targets+=("${name}_test" tarragonquayd tqctl tq-standin tq-load)
        ;;
    *)
        echo "unknown kind of test: $test" >&2
        exit 2
        ;;
    esac
done
cmake -G Ninja -S . -B "$build" -DTQ_SANITIZE="$kind" >"$build.configure.log" \
    2>&1 || {
    cat "$build.configure.log" >&2
    exit 1
}
rm -f "$build.configure.log"
mapfile -t targets < <(printf '%s\n' "${targets[@]}" | sort -u)
ninja -C "$build" ${TQ_JOBS:+-j "$TQ_JOBS"} "${targets[@]}"

reports=$PWD/$build/reports
rm -rf "$reports"
mkdir -p "$reports"
# Files also catch the reports of processes whose exit code no test sees.
common="log_path=$reports/$kind:log_exe_name=1"
# Tests expect that a process which ends is gone at once; by default it sleeps
# for a second first.
export TSAN_OPTIONS="$common:second_deadlock_stack=1:atexit_sleep_ms=0"
TSAN_OPTIONS+=":suppressions=$PWD/scripts/thread.supp"
export ASAN_OPTIONS="$common:detect_stack_use_after_return=1"
export UBSAN_OPTIONS="$common:print_stacktrace=1"

pattern=$(IFS='|'; echo "${tests[*]}")
status=0
ctest --test-dir "$build" --output-on-failure --no-tests=error \
    -j "${TQ_TEST_JOBS:-2}" -R "^(${pattern//./\\.})\$" ||
    status=$?
count=$(find "$reports" -type f | wc -l)
if [ "$count" -gt 0 ]; then
    echo "$count processes reported; see $build/reports:" >&2
    grep -hE '^SUMMARY|runtime error' -r "$reports" | sort | uniq -c >&2 || true
    status=1
fi
exit "$status"
