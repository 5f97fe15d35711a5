#!/usr/bin/env bash
# Checks the format of every source file; with --fix, formats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.h' '*.cpp' | grep -v '^Schema/Generated/')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
