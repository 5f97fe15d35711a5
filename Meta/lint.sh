#!/usr/bin/env bash
# Runs clang-tidy over every source file of the release build's compile database.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
[ -f "$build/compile_commands.json" ] || cmake --preset release >/dev/null
mapfile -t files < <(git ls-files '*.cpp')
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2> >(grep -v 'warnings generated' >&2)
echo "lint: ${#files[@]} files clean"
