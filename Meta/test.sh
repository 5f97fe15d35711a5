#!/usr/bin/env bash
# Builds and runs all tests, and closes with "N passed, N failed". A test that
# KNOWN-RED.txt lists does not fail the run, but is named.
set -uo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
export PUMICETURN_PRESET=$preset
Meta/install.sh || exit 1
cmake --preset "$preset" >/dev/null || exit 1
cmake --build --preset "$preset" || exit 1
passed=0
failed=0
red=0
for program in build/"$preset"/Tests/*/Test*; do
  [ -x "$program" ] && [ -f "$program" ] || continue
  report=$(mktemp)
  run=()
  # Needs the real programs beside it, as processes.
  [ "$(basename "$program")" != TestPlatformPath ] || run=(Meta/platform.sh --only)
  "${run[@]}" "$program" --reporter xml --out "$report"
  status=$?
  if ! grep -q '</Catch>' "$report"; then
    # The program died before it could close its report.
    echo "FAILED: $(basename "$program") ended early with status $status"
    tail -n 5 "$report"
    failed=$((failed + 1))
    rm -f "$report"
    continue
  fi
  while IFS=$'\t' read -r verdict name; do
    if [ "$verdict" = true ]; then
      passed=$((passed + 1))
    elif [ -f KNOWN-RED.txt ] && grep -q "^$name:" KNOWN-RED.txt; then
      echo "KNOWN RED: $(grep "^$name:" KNOWN-RED.txt)"
      red=$((red + 1))
    else
      echo "FAILED: $(basename "$program"): $name"
      failed=$((failed + 1))
    fi
  done < <(awk '
    /<TestCase / { match($0, /name="[^"]*"/); name = substr($0, RSTART + 6, RLENGTH - 7) }
    /<OverallResult / { print (/success="true"/ ? "true" : "false") "\t" name }' "$report")
  [ "$status" -eq 0 ] || sed -n '/<Expression success="false"/,/<\/Expression>/p;/<FatalErrorCondition/,/<\/FatalErrorCondition>/p;/<Exception/,/<\/Exception>/p' "$report" | head -n 60
  rm -f "$report"
done
[ "$red" -eq 0 ] || echo "$red known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
