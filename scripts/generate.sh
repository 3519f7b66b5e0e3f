#!/usr/bin/env bash
# Makes generated/ anew from proto/. With --check, only compares.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
protoc -I proto --cpp_out="$out" proto/*.proto
protoc -I proto --grpc_out="$out" \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" \
    proto/platform.proto proto/operator.proto
if [ "${1:-}" = "--check" ]; then
    if ! diff -rq "$out" generated; then
        echo "generate: generated/ is not up to date; run scripts/generate.sh" >&2
        exit 1
    fi
    echo "generate: up to date"
    exit 0
fi
mkdir -p generated
rm -f generated/*
cp "$out"/* generated/
