#!/usr/bin/env bash
# Start nine instances, each on its own loopback address in one of three
# availability zones, put a load on them while the control leader is killed, and stop
# them as planned. Usage: run.sh PATH-OF-SCALEBEND
set -eu
scalebend=$1
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
mkdir -p out/cluster
rm -rf out/cluster/*
pids=()
stop() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
trap stop EXIT
for settings in "$folder"/*.json; do
    case $settings in */configuration.json) continue ;; esac
    "$scalebend" run "$settings" 2>"out/cluster/$(basename "$settings" .json).log" &
    pids+=($!)
done
"$(dirname "$scalebend")/python" "$folder/load.py" "${pids[@]}"
