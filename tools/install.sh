#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benchmarks need.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config ccache clang clang-format clang-tidy lld
    libclang-rt-14-dev libboost-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
    libabsl-dev prometheus-cpp-dev libopentracing-dev libtomlplusplus-dev libcxxopts-dev liblog4cplus-dev
    libxxhash-dev libpcg-cpp-dev nlohmann-json3-dev libfmt-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev
    libbenchmark-dev gnuplot-nox curl jq
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query --show --showformat='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
echo "Installing ${missing[*]}."
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
