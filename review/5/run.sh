#!/usr/bin/env bash
# Case 5: SIGHUP, by which the platform states that a settings file has changed, ends every witness.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 sends no signal.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/release/stackmast-platform"
record="$here/record.txt"
trouble="${TROUBLE:-1}"
rounds=3

: > "$record"
say() { echo "$*" >> "$record"; }
cannot_run() { say "the case could not run: $*"; echo "$*" >&2; exit 2; }
[ -x "$program" ] || cannot_run "no program; run the build of deploy/system.toml first"

folder="$(mktemp -d)" || exit 2
names=(front-1 side-1 side-2 side-3)
declare -A pid ip ends
end_all() {
    for name in "${names[@]}"; do
        [ -n "${pid[$name]:-}" ] && kill -KILL "${pid[$name]}" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$folder"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP

# Writes the settings file of a machine; $2 is the number of this version of the file.
settings() {
    local name=$1 seed="127.90.$2.1:8628" class=side serves='"side"' listen='{}' app=''
    app="\"app\": \"${ip[$name]}:8626\", \"service\": \"draftsman\","
    if [ "$name" = front-1 ]; then
        class=front serves='"front", "control"' app=''
        listen="{\"front\": \"${ip[$name]}:8625\", \"ready\": \"${ip[$name]}:8621\", \"control\": \"${ip[$name]}:8628\"}"
    fi
    cat > "$folder/$name.json" <<JSON
{
  "node_name": "$name", "role": "$class", "machine_class": "$class", "serves": [$serves],
  "ip": "${ip[$name]}", "zone": "hall", "region": "east", "zones": {"hall": "east"},
  "listen": $listen, "port_range": [7740, 7755], "seeds": ["$seed"], "bootstrap": false, $app
  "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": 192, "max_fds": 4096, "link_mbps": 2000.0, "disk_mb": 0},
  "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
  "bounds": {"drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52},
  "platform": {"address": "127.90.0.7:8624", "form": "read", "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576}
}
JSON
}

# The commands of deploy/system.toml, which name the settings file by the environment.
start() {
    local name=$1
    if [ "$name" = front-1 ]; then
        STACKMAST_SETTINGS="$folder/$name.json" "$program" >> "$folder/$name.log" 2>&1 &
    else
        STACKMAST_SETTINGS="$folder/$name.json" "$program" witness >> "$folder/$name.log" 2>&1 &
    fi
    pid[$name]=$!
}

# Waits until the process accepts connections: it has started, and SIGHUP meets no starting process.
listens() {
    local port=7755 tries
    [ "$1" = front-1 ] && port=8628
    for tries in $(seq 100); do
        (exec 3<> "/dev/tcp/${ip[$1]}/$port") 2>/dev/null && { sleep 0.3; return 0; }
        kill -0 "${pid[$1]}" 2>/dev/null || return 1
        sleep 0.05
    done
    return 1
}

third=$((RANDOM % 200 + 10))
number=0
for name in "${names[@]}"; do
    number=$((number + 1))
    ip[$name]="127.90.$third.$((RANDOM % 50 + number * 50))"
    ends[$name]=0
    settings "$name" 1
    start "$name"
    listens "$name" || cannot_run "$name did not start: $(tail -n 1 "$folder/$name.log")"
    say "$name: started as process ${pid[$name]}"
done

# One machine at a time: share 0.25 of the machines.
for round in $(seq $rounds); do
    for name in "${names[@]}"; do
        settings "$name" $((round + 1))
        if [ "$trouble" != 0 ]; then
            kill -HUP "${pid[$name]}"
            say "round $round, $name: settings file changed, SIGHUP sent to process ${pid[$name]}"
        else
            say "round $round, $name: settings file changed, no signal sent"
        fi
        sleep 1
        if kill -0 "${pid[$name]}" 2>/dev/null; then
            say "round $round, $name: process ${pid[$name]} runs on"
            continue
        fi
        wait "${pid[$name]}" 2>/dev/null
        say "round $round, $name: process ${pid[$name]} ended by itself with code $?; the platform starts it again"
        ends[$name]=$((ends[$name] + 1))
        start "$name"
        listens "$name" || cannot_run "$name did not start again"
    done
done

broken=0
for name in "${names[@]}"; do
    say "$name: ended by itself ${ends[$name]} times"
    [ "${ends[$name]}" -ge 3 ] && broken=$((broken + 1))
done
say "machines whose process ended by itself three times: $broken of ${#names[@]} (the rule: on a tenth, two at least)"
if [ "$broken" -ge 2 ]; then
    say "result: Fault: broken"
    exit 1
fi
say "result: Fault: held"
exit 0
