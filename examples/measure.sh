#!/usr/bin/env bash
# Measure one entry process: latency, tasks per second, memory, and optionally a profile.
# Usage: examples/measure.sh latency|rate|memory [--profile]
set -eu
set -m
here="$(cd "$(dirname "$0")" && pwd)"
python="${PYTHON:-python3}"
out="${OUT:-build/measure}"
pids=()
mkdir -p "$out"

run() {
    "$python" "$@" 2>>"$out/stderr.log" &
    pids+=("$!")
}

stop() {
    trap - INT TERM EXIT
    # Stop in reverse order, so that the log service is available until all others have left.
    for ((n = ${#pids[@]} - 1; n >= 0; n--)); do
        pid="${pids[n]}"
        kill -TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
}
trap stop INT TERM EXIT

wait_for() {
    for _ in $(seq 200); do
        if "$python" -m currantbarrow members --json 2>/dev/null | grep -q "\"slots\": $1"; then
            return
        fi
        sleep 0.1
    done
    echo "the fleet did not get ready" >&2
    exit 1
}

seconds_used() {
    awk -v tick="$(getconf CLK_TCK)" '{ print ($14 + $15) / tick }' "/proc/$1/stat"
}

resident_mb() {
    awk '/VmRSS/ { printf "%.1f MB\n", $2 / 1024 }' "/proc/$1/status"
}

export CURRANTBARROW_SETTINGS="$here/vaja/operator.yaml"
entry="import sys; from currantbarrow.entry.main import main"
if [ "${2:-}" = "--profile" ]; then
    entry="$entry; import cProfile; cProfile.run('main()', '$out/entry.prof')"
else
    entry="$entry; main()"
fi

run -c "from currantbarrow.standins.log_main import main; main()" --settings "$here/vaja/log.yaml"
log_url="$(sed -n 's/^log_service_url: //p' "$here/vaja/entry-0.yaml")"
case "$1" in
rate)
    run -m currantbarrow.load.sides --log "$log_url" --token "$(cat "$here/vaja/token")" \
        --slots "${SLOTS:-64}"
    slots="${SLOTS:-64}"
    ;;
latency | memory)
    run -c "from currantbarrow.side.main import main; main()" --settings "$here/vaja/side-00.yaml"
    side="${pids[-1]}"
    run -c "from currantbarrow.standins.worker_main import main; main()" \
        --settings "$here/vaja/worker-00.yaml"
    slots=8
    ;;
esac
run -c "$entry" --settings "$here/vaja/entry-0.yaml"
entry_pid="${pids[-1]}"
wait_for "$slots"
"$python" -m currantbarrow class create measure --target-ms 1000 --wait

case "$1" in
latency)
    "$python" -m currantbarrow.load.measure --entry http://127.0.0.1:7101 --jobs "${JOBS:-2000}"
    ;;
rate)
    before="$(seconds_used "$entry_pid")"
    "$python" -m currantbarrow.load.measure --entry http://127.0.0.1:7101 \
        --jobs "${JOBS:-1500}" --tasks "${TASKS:-20}" --at-once "${AT_ONCE:-16}"
    echo "entry after: $(resident_mb "$entry_pid")"
    echo "processor time of the entry: $(seconds_used "$entry_pid") s, before it $before s"
    ;;
memory)
    sleep "${IDLE_S:-5}"
    echo "entry $(resident_mb "$entry_pid")"
    echo "side $(resident_mb "$side")"
    ;;
esac
