#!/usr/bin/env bash
# Installs what the build, the checks and the demo need, from Debian alone.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy git curl
  libcapnp-dev libcpp-httplib-dev libcxxopts-dev libspdlog-dev libboost1.81-dev
  libtrompeloeil-cpp-dev catch2 libyaml-cpp-dev libgrpc++-dev libprotobuf-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev zlib1g-dev libbenchmark-dev
  protobuf-compiler protobuf-compiler-grpc capnproto
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
