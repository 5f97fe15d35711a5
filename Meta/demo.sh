#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins, three entry+keeper hosts in three failure
# domains and seven agents, then online calls and a lot whose answers are checked. Stops only
# what it started. Usage: Meta/demo.sh [--keep] (keep: leave it running until Enter).
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
cmake --preset release >/dev/null
cmake --build --preset release --target pumiceturnd pumicectl

bin=build/release
daemon=$bin/Services/Pumiceturnd/pumiceturnd
ctl=$bin/Utilities/Pumicectl/pumicectl
state=$(mktemp -d)
pids=()

finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$state"
}
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$state/$name.out" 2>"$state/$name.log" &
  pids+=($!)
}

# Waits until a page answers, for at most 30 seconds.
await() {
  for _ in $(seq 300); do
    curl -fs -o /dev/null "http://$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 20 "$state"/*.log >&2
  return 1
}

echo "== starting stand-ins, three entry+keeper hosts and seven agents"
start kv "$ctl" standin kv --listen 127.0.0.1:7400
for n in 1 2 3 4 5 6; do
  start "engine-$n" "$ctl" standin engine --listen "127.0.0.1:741$n"
done
start service "$ctl" standin service --listen 127.0.0.1:7420
await 127.0.0.1:7400/standin/stats
for n in 1 2 3; do
  sed "s#data_folder: .*#data_folder: $state/keeper-$n#" "Base/demo/entry-$n.yaml" >"$state/entry-$n.yaml"
  mkdir -p "$state/keeper-$n"
  start "entry-$n" "$daemon" --settings "$state/entry-$n.yaml"
done
for n in 1 2 3 4 5 6 7; do
  start "agent-$n" "$daemon" --settings "Base/demo/agent-$n.yaml"
done
for n in 1 2 3; do await "127.0.0.1:730$n/healthz"; done

export PUMICETURN_ENTRIES=127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203
export PUMICETURN_TOKEN=demo-token
"$ctl" apply Base/demo/declarations.yaml --expect 0 --author demo
for n in 1 2 3; do await "127.0.0.1:730$n/readyz"; done
for n in 1 2 3 4 5 6 7; do await "127.0.0.1:731$n/readyz"; done

echo "== online calls, each answer checked"
for n in $(seq 12); do
  prompt="Where does the surname Demo$n come from?"
  answer=$("$ctl" call origin-llm look-up --key "demo-call-$n" "$prompt")
  expected=$("$ctl" standin answer --prompt "$prompt" --max-tokens 64)
  [ "$answer" = "$expected" ] || { echo "wrong answer to call $n: $answer" >&2; exit 1; }
done
echo "12 calls answered, 12 as the engine generates them"

echo "== a call that may run at most once, sent twice"
first=$("$ctl" call archive record-booking --plain --key demo-booking "book the church register of Ribe")
second=$("$ctl" call archive record-booking --plain --key demo-booking "book the church register of Ribe")
[ "$first" = "$second" ] || { echo "the resent call ran again: $first, $second" >&2; exit 1; }
echo "both got $first"

echo "== a lot of 300 items"
for n in $(seq 300); do
  printf '{"name":"item-%d","prompt":"Lineage of the name Demo%d"}\n' "$n" "$n"
done >"$state/lot.jsonl"
"$ctl" submit origin-llm lineage-batch "$state/lot.jsonl" --key demo-lot
"$ctl" results demo-lot --follow --json >"$state/results.jsonl"
"$ctl" standin check --lot "$state/lot.jsonl" --results "$state/results.jsonl" --max-tokens 64
"$ctl" submit origin-llm lineage-batch "$state/lot.jsonl" --key demo-lot
"$ctl" job demo-lot
"$ctl" status
echo "== done: every answer was whole, and none came twice"
if [ "${1:-}" = --keep ]; then
  read -r -p "running; Enter stops it " _
fi
