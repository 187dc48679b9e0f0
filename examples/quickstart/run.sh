#!/usr/bin/env bash
# Starts the stand-ins and three entries as processes on loopback, publishes the
# example tree, sends requests of each rank of both members through the entries
# and prints the outcomes. Stops everything that it started, also on failure.
#
# Usage: run.sh              the whole tour, then stop
#        run.sh --keep DIR   keep running until Ctrl-C, with programs, settings,
#                            logs and process ids in the new folder DIR
set -euo pipefail
keep=""
if [ "${1:-}" = "--keep" ] && [ -n "${2:-}" ]; then
  mkdir "$2"
  keep=$(cd "$2" && pwd)
elif [ $# -gt 0 ]; then
  sed -n '6,8p' "$0" >&2
  exit 2
fi
cd "$(dirname "$0")/../.."

dir=${keep:-$(mktemp -d)}
pids=()
cleanup() {
  local status=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -n "$keep" ] && [ "$status" -gt 128 ]; then
    exit 0
  fi
  if [ "$status" -ne 0 ]; then
    echo "quick start failed with status $status; the logs end with:" >&2
    tail -n 5 "$dir"/*.log >&2 || true
  fi
  [ -n "$keep" ] || rm -rf "$dir"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a process in the background; its output goes to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$dir/$name.pid"
}

echo "building"
go build -o "$dir/" ./cmd/chestnutrouter ./cmd/chestnutctl ./standin/cmd/standin ./examples/quickstart/tour
PATH="$dir:$PATH"

# Each run chooses free ports; tour writes them into the settings.
tour plan --dir "$dir"
source "$dir/plan.env"

start platform standin platform --listen "$PLATFORM"
for server in $SERVERS; do
  start "${server%%=*}" standin backend --name "${server%%=*}" --listen "${server#*=}"
done
tour register --dir "$dir"

echo "publishing the example tree"
chestnutctl check examples/tree
chestnutctl publish examples/tree --platform "http://$PLATFORM" --publisher glazenpot/quickstart | tail -n 1

for entry in $ENTRIES; do
  start "$entry" chestnutrouter --settings "$dir/$entry.jsonc"
done
tour wait --dir "$dir"

echo "sending each rank of work"
tour send --dir "$dir"
echo "done"
if [ -n "$keep" ]; then
  echo "running until Ctrl-C; in another terminal: source $keep/walk.env"
  wait
fi
