#!/usr/bin/env bash
# Checks the format (clang-format) and lints (clang-tidy) the project's own
# sources. Arguments name files; without any, all are checked.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${TQ_BUILD_DIR:-build}
jobs=${TQ_JOBS:-$(nproc)}
folders=(src platform standins load experiment tests)
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard \
        -- "${folders[@]/%//*.hpp}" "${folders[@]/%//*.cpp}" | sort -u)
fi
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files ok"
# clang-tidy 14 knows coroutines of Asio only with these definitions.
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
    xargs -P "$jobs" -n 1 clang-tidy --quiet --warnings-as-errors='*' -p "$build" \
        --extra-arg=-D__cpp_impl_coroutine=201902L \
        --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
        --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 \
        --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ok"
