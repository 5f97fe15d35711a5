#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start, into review/build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
g++ -std=c++20 -O1 -pthread -o review/build/rig review/rig/Main.cpp review/rig/Rig.cpp
