#!/usr/bin/env bash
# Creates a class data sharing archive for hosts, which reduces start time and processor load.
#
# Each class or call site missing in the archive costs a newly started host about 0.5 ms. The recorded
# host therefore runs in a cluster of three that elects a leader and serves callers for some seconds,
# while a primary is lost and a control host is killed. The recorded host is restarted once, so that it
# also loads an existing log. The connections to one group are held by some hosts on behalf of all, so
# that holding and forwarding are both recorded. On a busy machine the run takes longer. Hosts also run
# without the archive.
set -u
cd "$(dirname "$0")/.."
folder=alderyard-cli/target/class-archive
rm -rf "$folder" && mkdir -p "$folder"
# shellcheck source=bin/platform-hosts.sh
source bin/platform-hosts.sh
hosts=3
base="$(platform_free_ports)"
export ALDERYARD_CLUSTER_KEY=only-for-the-archive-of-classes
flags="-Xms8m -Xmn3m -Xmx96m -Xss256k -XX:-UsePerfData -Dio.netty.allocator.type=unpooled -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
classes="alderyard-cli/target/host/alderyard-host.jar"
start() { # starts host $1 with additional JVM flags; sets $started to the process id
  local number=$1
  shift
  # shellcheck disable=SC2086
  java $flags "$@" -cp "$classes" org.alderyard.daemon.DaemonMain --settings "$folder/host-$number.ini" \
    >> "$folder/host-$number.log" 2>&1 &
  started=$!
}
# Waits until host 0 has logged a view change since line $1 of its log, for 30 s at most; a busy machine
# needs longer than an idle one.
await_view() {
  for _ in $(seq 300); do
    tail -n "+$1" "$folder/host-0.log" 2> /dev/null | grep -q event=view-changed && return
    sleep 0.1
  done
}
for host in $(seq 0 $((hosts - 1))); do platform_settings "$host" "$hosts" "$base"; done
start 0 -Xshare:auto
first=$started
start 1
other=$started
start 2
last=$started
java -XX:TieredStopAtLevel=1 -cp "$classes" org.alderyard.platform.StandInPlatformMain --seconds 9 --answers 12000 \
  --control "$(platform_addresses $((base + 2)) $hosts)" --callers "$(platform_addresses "$base" $hosts)" \
  --appointer "127.0.0.1:$((base + 5))" > "$folder/callers.log" 2>&1 &
callers=$!
await_view 1
sleep 1
kill -TERM "$first" && wait "$first" 2> /dev/null
lines=$(($(wc -l < "$folder/host-0.log") + 1))
start 0 "-XX:ArchiveClassesAtExit=$folder/alderyard.jsa"
first=$started
await_view "$lines"
sleep 3
kill -KILL "$other"
wait "$callers"
kill -TERM "$first" "$last" 2> /dev/null
wait "$first" "$last" 2> /dev/null
rm -rf "$folder"/data-*
exit 0
