#!/usr/bin/env bash
# Installs the Debian packages that building and testing need.
set -euo pipefail
packages=(
    curl g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
    libboost-dev libboost-log-dev libboost-system-dev libboost-thread-dev
    libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libgrpc++-dev
    protobuf-compiler-grpc libcli11-dev libyaml-cpp-dev libexpected-dev
    libcppunit-dev librapidcheck-dev nlohmann-json3-dev libfmt-dev
    libxxhash-dev libssl-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
run=()
if [ "$(id -u)" != 0 ]; then run=(sudo); fi
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq \
    --no-install-recommends "${missing[@]}"
