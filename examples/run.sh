#!/usr/bin/env bash
# Start all processes of an example, and drain them on Ctrl-C: entries, sides, stand-ins.
# Usage: examples/run.sh examples/vaja
set -eu
# Job control gives each process its own group, so that Ctrl-C signals only this script.
set -m
folder="$1"
logs="${LOGS:-build/logs}"
stand_ins=()
sides=()
entries=()

start() {
    "$1" --settings "$2" 2>>"$logs/$(basename "$2" .yaml).log" &
}

drain() {
    kill -TERM "$@" 2>/dev/null || true
    wait "$@" 2>/dev/null || true
}

stop() {
    trap - INT TERM EXIT
    drain "${entries[@]}"
    drain "${sides[@]}"
    drain "${stand_ins[@]}"
}

mkdir -p "$logs"
trap stop INT TERM EXIT
start currantbarrow-standin-log "$folder/log.yaml"
stand_ins+=("$!")
for settings in "$folder"/side-*.yaml; do
    start currantbarrow-side "$settings"
    sides+=("$!")
done
for settings in "$folder"/worker-*.yaml; do
    start currantbarrow-standin-worker "$settings"
    stand_ins+=("$!")
done
for settings in "$folder"/entry-*.yaml; do
    start currantbarrow-entry "$settings"
    entries+=("$!")
done
echo "log lines are in $logs; Ctrl-C stops all processes"
wait
