#!/usr/bin/env bash
# Soak of the platform's path with the real programs as processes, faults drawn from seeds.
# Usage: Meta/soak_platform.sh [--first SEED] [--seeds N] [--seconds S] [--at-once N] [--only TEST] [--hosts N]
#   --only   one test, by Catch2's pattern, as "RateLimitSoak*"
#   --hosts  entry hosts of the soak of rate limits
# A seed that breaks a promise is named, with the folder of its logs.
set -euo pipefail
cd "$(dirname "$0")/.."
first=$RANDOM
seeds=50
seconds=20
at_once=4
only="*"
while [ $# -gt 0 ]; do
  case $1 in
    --first) first=$2 ;;
    --seeds) seeds=$2 ;;
    --seconds) seconds=$2 ;;
    --at-once) at_once=$2 ;;
    --only) only=$2 ;;
    --hosts) export PUMICETURN_SOAK_HOSTS=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
preset=${PUMICETURN_PRESET:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" --target TestPlatformSoak
export PUMICETURN_SOAK_SECONDS=$seconds
export PUMICETURN_SOAK_ONLY=$only
report=$(mktemp)
seq "$first" $((first + seeds - 1)) |
  xargs -P "$at_once" -I{} sh -c "PUMICETURN_SOAK_SEED={} build/$preset/Tests/PlatformSoak/TestPlatformSoak \"\$PUMICETURN_SOAK_ONLY\" >$report.{} 2>&1 \
    && { grep '^seed' $report.{}; echo 'seed {} passed'; } || { echo 'seed {} failed'; grep '^seed' $report.{}; }; rm -f $report.{}" | tee "$report"
passed=$(grep -c '^seed [0-9]* passed' "$report" || true)
failed=$(grep -c '^seed [0-9]* failed' "$report" || true)
rm -f "$report"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
