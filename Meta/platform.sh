#!/usr/bin/env bash
# Plays the users' platform on loopback with the real programs, each a process of its own:
# the platform's stand-in (store and three servers), two entry hosts and two workers, then
# callers with and without keys, streams, a stream that breaks, a lot, a change of the configuration, and the loss of a
# worker, each answer checked. Ends only what it started.
# Usage: Meta/platform.sh [--keep | --only PROGRAM ARGUMENT...]
#   --keep   leaves the processes running until Enter, after the checks
#   --only   starts the processes, runs that program instead of the checks, and ends them
set -euo pipefail
cd "$(dirname "$0")/.."

build=build/${PUMICETURN_PRESET:-release}
checks=$build/Tests/PlatformPath/TestPlatformPath
if [ "${1:-}" != --only ]; then
  Meta/install.sh
  cmake --preset release >/dev/null
  cmake --build --preset release --target pumiceturn-gateway pumiceturn-platform-standin TestPlatformPath
fi

state=$(mktemp -d)
declare -A pids=()

finish() {
  local name
  for name in "${!pids[@]}"; do kill "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  rm -rf "$state"
}
trap finish EXIT

# An address of its own for each process; 127.0.0.0/8 is all loopback. Two runs at once
# draw different ones.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
store=$network.1:8169

# host NAME DIGIT front|store: writes the settings as the platform does, starts the process.
host() {
  local ip=$network.$2
  {
    echo "node: $1"
    echo "zone: a"
    echo "ip: $ip"
    if [ "$3" = front ]; then
      echo "listen: { front: \"$ip:8080\", ready: \"$ip:8081\" }"
    else
      echo "listen: {}"
    fi
    echo "portRange: [ 7000, 7019 ]"
    echo "platform: { address: \"$store\" }"
    echo "bounds: { drainMs: 2000, settleMs: 1000, statusS: 120, graceS: 8, strictRevoke: true,"
    echo "  revokeMs: 5000, quotaWindowS: 5, quotaOverage: 0.1, quotaSlack: 20 }"
  } >"$state/$1.yaml"
  PUMICETURN_BOOT=$state/$1.yaml $build/platform/pumiceturn-gateway \
    >"$state/$1.log" 2>&1 &
  pids[$1]=$!
  echo "$3 $1 $ip:8080 ${pids[$1]}" >>"$state/fleet"
}

$build/platform/pumiceturn-platform-standin --store "$store" --servers 3 \
  --configuration Base/Platform/configuration.json >"$state/platform.log" 2>&1 &
pids[platform]=$!
echo "platform store $store ${pids[platform]}" >>"$state/fleet"
host entry-1 11 front
host entry-2 12 front
host worker-1 21 store
host worker-2 22 store

export PUMICETURN_PATH_FLEET=$state/fleet
if [ "${1:-}" = --only ]; then
  shift
  "$@"
  exit
fi
"$checks" --durations yes || { tail -n 20 "$state"/*.log; exit 1; }
if [ "${1:-}" = --keep ]; then
  cat "$state/fleet"
  echo "logs in $state"
  read -r -p "running; Enter ends it " _
fi
