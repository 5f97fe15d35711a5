#!/usr/bin/env bash
# Builds the test doubles of cases 4 to 8 into target/review-2. Needs what the
# deploy file's build needs, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/rig-2 \
  review/rig-2/*.cpp -o target/review-2/review-rig
