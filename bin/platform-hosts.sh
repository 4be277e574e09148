# Functions for scripts that start hosts on the loopback interface as the platform does. Host n has the
# address 127.0.0.(n+1); all hosts use the same ports. Files are written to the folder $folder.

PLATFORM_PORTS=6

# Prints the first of PLATFORM_PORTS consecutive ports without a listener, below the ephemeral range.
# The first port is random, so that builds can run in parallel.
platform_free_ports() {
  local base port
  for _ in $(seq 50); do
    base=$((12000 + RANDOM % 19000))
    for port in $(seq "$base" $((base + PLATFORM_PORTS - 1))); do
      if (: < "/dev/tcp/127.0.0.1/$port") 2> /dev/null; then
        continue 2
      fi
    done
    echo "$base"
    return
  done
}

# Prints a comma-separated list of the addresses of $2 hosts with port $1.
platform_addresses() {
  local host addresses=""
  for host in $(seq 1 "$2"); do
    addresses+="${addresses:+,}127.0.0.$host:$1"
  done
  echo "$addresses"
}

# Writes the settings file of host $1 of $2 with ports starting at $3; all hosts are control hosts.
platform_settings() {
  local number=$1 hosts=$2 base=$3 ip="127.0.0.$(($1 + 1))"
  mkdir -p "$folder/data-$number"
  cat > "$folder/host-$number.ini" <<INI
[host]
id = host-$number
zone = z$((number % 2))
cluster-id = loopback
roles = proxy, control
[network]
caller-address = $ip:$base
inner-address = $ip:$((base + 1))
operator-address = $ip:$((base + 2))
[sessions]
ready-address = $ip:$((base + 3))
metrics-address = $ip:$((base + 4))
appointer-address = 127.0.0.1:$((base + 5))
grace = 1s
[control]
seeds = $(platform_addresses $((base + 2)) "$hosts")
may-found = true
borne-losses = $(((hosts - 1) / 2))
data-folder = data-$number
[proxy]
worker-threads = 2
io-threads = 1
inner-threads = 1
routing-log-sample = 200
[keys]
cluster-key-variable = ALDERYARD_CLUSTER_KEY
[limits]
max-body-size = 4MiB
[log]
format = json
INI
}
