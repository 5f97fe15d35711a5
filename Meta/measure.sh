#!/usr/bin/env bash
# Runs a deployment's load plan against its whole fleet on loopback, with stand-ins for
# engines and key-value service, and leaves report.json and report.html. Stops only what it
# started. Usage: Meta/measure.sh slaegtsspor|kilimanjaro [REPORT_FOLDER]
# SLOTS: requests that each engine runs at once (the plan's capacity counts on 4).
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?usage: Meta/measure.sh slaegtsspor|kilimanjaro [REPORT_FOLDER]}
reports=${2:-build/reports/$deployment}
slots=${SLOTS:-4}
declarations=Base/$deployment/declarations.yaml
plan=Base/$deployment/load.yaml
cmake --preset release >/dev/null
cmake --build --preset release --target pumiceturnd pumicectl

. Meta/fleet.sh

# Each endpoint of the declarations as "name domain service type", in their order.
list_endpoints() {
  awk '/^  - name:/ { service = $3 } /^    type:/ { type = $2 }
    /agent_address:/ { match($0, /name: [^,]*/); name = substr($0, RSTART + 6, RLENGTH - 6)
      match($0, /failure_domain: [^,]*/); domain = substr($0, RSTART + 16, RLENGTH - 16)
      print name, domain, service, type }' "$declarations"
}

# Settings that every host has: NAME DOMAIN LINK_PORT HTTP_PORT FUNCTIONS.
common_settings() {
  cat <<EOF
host: $1
region: loopback
failure_domain: $2
functions: [$5]
link_address: 127.0.0.1:$3
http_address: 127.0.0.1:$4
platform: {key_value_addresses: ['127.0.0.1:7400'], host_list: $state/hosts.yaml}
EOF
}

mapfile -t endpoints < <(list_endpoints)
mapfile -t domains < <(printf '%s\n' "${endpoints[@]}" | awk '{ print $2 }' | sort -u)

# The addresses become those of this run, in the order of the file.
awk '/agent_address:/ { sub(/agent_address: [^,]*/, "agent_address: \x27127.0.0.1:" 7111 + count++ "\x27") }
  { print }' "$declarations" >"$state/declarations.yaml"

echo "hosts:" >"$state/hosts.yaml"
for n in 1 2 3; do
  domain=${domains[$((n - 1))]}
  echo "  - {name: entry-$n, failure_domain: $domain, link_address: '127.0.0.1:710$n', functions: [entry, keeper], state: live}" >>"$state/hosts.yaml"
  mkdir -p "$state/keeper-$n"
  {
    common_settings "entry-$n" "$domain" "710$n" "730$n" "entry, keeper"
    echo "entry: {grpc_address: 127.0.0.1:720$n}"
    echo "keeper: {data_folder: $state/keeper-$n, partitions: 64}"
  } >"$state/entry-$n.yaml"
done
for index in "${!endpoints[@]}"; do
  read -r name domain service type <<<"${endpoints[$index]}"
  echo "  - {name: $name, failure_domain: $domain, link_address: '127.0.0.1:$((7111 + index))', functions: [agent], state: live}" >>"$state/hosts.yaml"
  {
    common_settings "$name" "$domain" $((7111 + index)) $((7311 + index)) agent
    echo "agent: {service: $service, endpoint: $name, engine_address: 127.0.0.1:$((7411 + index)), max_running: $slots}"
  } >"$state/$name.yaml"
done

start kv "$ctl" standin kv --listen 127.0.0.1:7400
await 127.0.0.1:7400/standin/stats
for index in "${!endpoints[@]}"; do
  read -r name domain service type <<<"${endpoints[$index]}"
  if [ "$type" = model ]; then
    start "engine-$index" "$ctl" standin engine --listen "127.0.0.1:$((7411 + index))" --max-running "$slots"
  else
    start "service-$index" "$ctl" standin service --listen "127.0.0.1:$((7411 + index))"
  fi
  start "$name" "$daemon" --settings "$state/$name.yaml"
done
for n in 1 2 3; do start "entry-$n" "$daemon" --settings "$state/entry-$n.yaml"; done
for n in 1 2 3; do await "127.0.0.1:730$n/healthz"; done

export PUMICETURN_ENTRIES=127.0.0.1:7201,127.0.0.1:7202,127.0.0.1:7203
# Sample token of the deployment's first partner; its declarations say so.
PUMICETURN_TOKEN=$(awk '/# of / { print $NF; exit }' "$declarations")
export PUMICETURN_TOKEN
"$ctl" apply "$state/declarations.yaml" --expect 0 --author measure
for n in 1 2 3; do await "127.0.0.1:730$n/readyz"; done
for index in "${!endpoints[@]}"; do await "127.0.0.1:$((7311 + index))/readyz"; done

mkdir -p "$reports"
"$ctl" load --plan "$plan" --report "$reports/report.json" --html "$reports/report.html"
echo "reports in $reports"
