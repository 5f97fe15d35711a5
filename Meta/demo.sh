#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins, three entry+keeper hosts in three failure
# domains and seven agents, then online calls and a lot whose answers are checked. Stops only
# what it started. Usage: Meta/demo.sh [--keep] (keep: leave it running until Enter).
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
cmake --preset release >/dev/null
cmake --build --preset release --target pumiceturnd pumicectl

. Meta/fleet.sh

echo "== starting stand-ins, three entry+keeper hosts and seven agents"
start_demo_fleet demo

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
make_lot 300 item >"$state/lot.jsonl"
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
