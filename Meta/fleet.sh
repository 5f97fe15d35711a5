# Sourced by scripts that run a fleet on loopback: starts processes by name, ends only
# those, and gives the demo's fleet. Needs the release build.

daemon=build/release/Services/Pumiceturnd/pumiceturnd
ctl=build/release/Utilities/Pumicectl/pumicectl
state=$(mktemp -d)
declare -A pids=()

# Ends the named processes and waits for them.
stop() {
  local name
  for name in "$@"; do kill "${pids[$name]}" 2>/dev/null || true; done
  for name in "$@"; do wait "${pids[$name]}" 2>/dev/null || true; done
}

# Hosts first: they hand their partitions over through the key-value service.
finish() {
  local name
  local hosts=()
  local others=()
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    case $name in
      kv | engine-* | service*) others+=("$name") ;;
      *) hosts+=("$name") ;;
    esac
  done
  stop "${hosts[@]}"
  stop "${others[@]}"
  rm -rf "$state"
}
trap finish EXIT

# start NAME COMMAND...: logs are appended, so that a restarted process keeps its own.
start() {
  local name=$1
  shift
  "$@" >>"$state/$name.out" 2>>"$state/$name.log" &
  pids[$name]=$!
}

# A second fleet on these ports would share or lack some of them, and both would show
# nonsense.
for port in 7101 7201 7301 7400 7411; do
  if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
    echo "port $port is taken: another fleet runs on this machine" >&2
    exit 1
  fi
done

# Waits until a page answers, for at most 60 seconds.
await() {
  for _ in $(seq 600); do
    curl -fs -o /dev/null "http://$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 20 "$state"/*.log >&2
  return 1
}

start_entry() {
  start "entry-$1" "$daemon" --settings "$state/entry-$1.yaml"
}

start_agent() {
  start "agent-$1" "$daemon" --settings "Base/demo/agent-$1.yaml"
}

start_engine() {
  start "engine-$1" "$ctl" standin engine --listen "127.0.0.1:741$1"
}

# Three entry+keeper hosts in three failure domains, six engines and one plain service with
# their agents, and the key-value stand-in, with the demo's declarations in force.
start_demo_fleet() {
  start kv "$ctl" standin kv --listen 127.0.0.1:7400 --state-file "$state/kv.json"
  for n in 1 2 3 4 5 6; do start_engine "$n"; done
  start service "$ctl" standin service --listen 127.0.0.1:7420
  await 127.0.0.1:7400/standin/stats
  for n in 1 2 3; do
    sed "s#data_folder: .*#data_folder: $state/keeper-$n#" "Base/demo/entry-$n.yaml" >"$state/entry-$n.yaml"
    mkdir -p "$state/keeper-$n"
    start_entry "$n"
  done
  for n in 1 2 3 4 5 6 7; do start_agent "$n"; done
  for n in 1 2 3; do await "127.0.0.1:730$n/healthz"; done
  export PUMICETURN_ENTRIES=127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203
  export PUMICETURN_TOKEN=demo-token
  "$ctl" apply Base/demo/declarations.yaml --expect 0 --author "$1"
  for n in 1 2 3; do await "127.0.0.1:730$n/readyz"; done
  for n in 1 2 3 4 5 6 7; do await "127.0.0.1:731$n/readyz"; done
}

# make_lot COUNT LABEL: one JSON line an item.
make_lot() {
  for n in $(seq "$1"); do
    printf '{"name":"%s-%d","prompt":"Lineage of the name %s%d"}\n' "$2" "$n" "$2" "$n"
  done
}
