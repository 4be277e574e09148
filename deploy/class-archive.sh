#!/usr/bin/env bash
# Writes an archive of the classes that a host loads, so that it starts sooner and with less work.
# Starts one host on the loopback for a moment; without the archive everything runs as well.
set -u
cd "$(dirname "$0")/.."
folder=alderyard-cli/target/class-archive
rm -rf "$folder" && mkdir -p "$folder/data"
# Six ports in a row that nobody listens on, below the range of outgoing connections: builds may
# run side by side, and a host that can't listen would leave an archive of half of the classes.
free_ports() {
  local base port
  for _ in $(seq 50); do
    base=$((12000 + RANDOM % 19000))
    for port in $(seq "$base" $((base + 5))); do
      if (: < "/dev/tcp/127.0.0.1/$port") 2> /dev/null; then
        continue 2
      fi
    done
    echo "$base"
    return
  done
}
base="$(free_ports)"
cat > "$folder/settings.ini" <<INI
[host]
id = archive
zone = archive
cluster-id = archive
roles = proxy, control
[network]
caller-address = 127.0.0.1:$base
inner-address = 127.0.0.1:$((base + 1))
operator-address = 127.0.0.1:$((base + 2))
[sessions]
ready-address = 127.0.0.1:$((base + 3))
metrics-address = 127.0.0.1:$((base + 4))
appointer-address = 127.0.0.1:$((base + 5))
grace = 1s
[control]
seeds = 127.0.0.1:$((base + 1))
may-found = true
borne-losses = 0
data-folder = data
[proxy]
worker-threads = 2
io-threads = 1
inner-threads = 1
[keys]
cluster-key-variable = ALDERYARD_CLUSTER_KEY
[log]
format = json
INI
ALDERYARD_CLUSTER_KEY=only-for-the-archive-of-classes \
  java -Xms8m -Xmn3m -Xmx96m -Xss256k -XX:-UsePerfData -Dio.netty.allocator.type=unpooled -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
  -XX:ArchiveClassesAtExit="$folder/alderyard.jsa" \
  -cp "alderyard-cli/target/alderyard-cli-0.1.0-SNAPSHOT.jar:alderyard-cli/target/lib/*" \
  org.alderyard.daemon.DaemonMain --settings "$folder/settings.ini" > "$folder/host.log" 2>&1 &
host=$!
sleep 2
exchange() { # sends a body to the operators' port; what comes back is of no interest
  { printf 'POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
      "$1" "${#2}" "$2" >&3; timeout 1 cat <&3 > /dev/null; } 3<> /dev/tcp/127.0.0.1/$((base + 2))
}
exchange /api/Config.Replace '{"version":1,"routes":[{"name":"r","host":"db","path_prefix":"/","route_type":"primary","timeout_ms":300,"service":"g"}],"services":[{"name":"g","max_connections":4}],"limits":{}}' 2> /dev/null
exchange /api/Instances.Heartbeat/i-1 '{"service":"g","address":"127.0.0.1:28409","zone":"archive","version":"v1","slots":2,"state":"ready","cold_remaining_ms":0,"db_role":"primary","seq_no":1,"born":1}' 2> /dev/null
{ printf 'START db me\r\nQUERY a READ x\r\n' >&3; timeout 1 cat <&3 > /dev/null; } 3<> /dev/tcp/127.0.0.1/$base 2> /dev/null
kill -TERM "$host" 2> /dev/null
wait "$host"
rm -rf "$folder/data"
exit 0
