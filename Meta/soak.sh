#!/usr/bin/env bash
# Fault soak with real processes: lots and calls run while hosts are killed, paused and
# restarted and the key-value service fails. Every accepted item must be answered once,
# with the answer that its prompt gives. Usage: Meta/soak.sh [--seed N] [--rounds N]
# [--items N]. The same seed gives the same faults in the same order.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=$RANDOM
rounds=8
items=400
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2 ;;
    --rounds) rounds=$2 ;;
    --items) items=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
echo "seed $seed"
RANDOM=$seed
. Meta/fleet.sh
start_demo_fleet soak

kv_faults() {
  curl -fs -o /dev/null -X POST -d "$1" http://127.0.0.1:7400/standin/faults
}

lose() {
  kill -KILL "${pids[$1]}" 2>/dev/null || true
  wait "${pids[$1]}" 2>/dev/null || true
}

# One fault, chosen by the seed, with its recovery.
inject() {
  local n=$((RANDOM % 3 + 1))
  local a=$((RANDOM % 6 + 1))
  case $((RANDOM % 7)) in
    0) echo "  kill entry-$n, restart after 4 s"; lose "entry-$n"; sleep 4; start_entry "$n" ;;
    1) echo "  kill agent-$a, restart after 2 s"; lose "agent-$a"; sleep 2; start_agent "$a" ;;
    2) echo "  pause entry-$n for 6 s"; kill -STOP "${pids[entry-$n]}"; sleep 6; kill -CONT "${pids[entry-$n]}" ;;
    3) echo "  kill engine-$a, restart after 2 s"; lose "engine-$a"; sleep 2; start_engine "$a" ;;
    4) echo "  key-value service down for 5 s, entry-$n killed in it"
       kv_faults '{"outage":"silent"}'; lose "entry-$n"; sleep 5; kv_faults '{"outage":"none"}'; start_entry "$n" ;;
    5) echo "  two writes lose their answer, entry-$n killed"
       kv_faults '{"lose_answers":2}'; lose "entry-$n"; sleep 4; start_entry "$n" ;;
    6) echo "  pause agent-$a for 5 s, kill entry-$n"
       kill -STOP "${pids[agent-$a]}"; lose "entry-$n"; sleep 5; kill -CONT "${pids[agent-$a]}"; start_entry "$n" ;;
  esac
}

# Tries until the system has accepted; a resend must find the first lot, never a second.
submit_lot() {
  for _ in $(seq 60); do
    "$ctl" submit origin-llm lineage-batch "$state/lot-$1.jsonl" --key "soak-$1" >/dev/null 2>>"$state/submit.log" && return 0
    sleep 1
  done
  echo "lot $1 was never accepted" >&2
  tail -n 3 "$state/submit.log" >&2
  return 1
}

calls_ok=0
calls_refused=0
calls_wrong=0
# A call in each round: whole and right, or refused; and the same again under its key.
call_once() {
  local prompt="Soak call $1"
  local expected answer
  expected=$("$ctl" standin answer --prompt "$prompt" --max-tokens 64)
  for _ in 1 2 3 4 5 6; do
    if answer=$("$ctl" call origin-llm look-up --key "soak-call-$1" "$prompt" 2>>"$state/call.log"); then
      if [ "$answer" = "$expected" ]; then calls_ok=$((calls_ok + 1)); else calls_wrong=$((calls_wrong + 1)); echo "  wrong answer to call $1"; fi
      return 0
    fi
    sleep 2
  done
  calls_refused=$((calls_refused + 1))
}

for round in $(seq "$rounds"); do
  make_lot "$items" "soak$round" >"$state/lot-$round.jsonl"
  submit_lot "$round"
  echo "round $round: lot accepted"
  inject
  call_once "$round"
  submit_lot "$round"
done

echo "== all faults over; reading every lot"
bad=0
for round in $(seq "$rounds"); do
  : >"$state/results-$round.jsonl"
  for _ in $(seq 30); do
    timeout 60 "$ctl" results "soak-$round" --follow --json >"$state/results-$round.jsonl" 2>>"$state/results.log" && break
    sleep 1
  done
  "$ctl" standin check --lot "$state/lot-$round.jsonl" --results "$state/results-$round.jsonl" --max-tokens 64 || bad=$((bad + 1))
done
echo "calls: $calls_ok right, $calls_wrong wrong, $calls_refused refused"
echo "seed $seed: $rounds lots of $items items, $bad lots not whole"
if [ -n "${SOAK_KEEP:-}" ]; then cp -r "$state" "$SOAK_KEEP"; fi
[ "$bad" -eq 0 ] && [ "$calls_wrong" -eq 0 ]
