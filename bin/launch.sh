# Functions and options shared by the launch scripts. The project is built if its jars are missing.

# Without the second compiler: on a machine with several processes that have just started, its threads take
# most of the processor time for the first seconds.
# shellcheck disable=SC2034
small_process_options="-XX:+UseSerialGC -XX:TieredStopAtLevel=1"

build_if_needed() {
  if ! ls "$1"/alderyard-cli/target/alderyard-cli-*.jar >/dev/null 2>&1; then
    echo "building alderyard ..." >&2
    (cd "$1" && mvn -B -q -ntp -DskipTests package >&2)
  fi
}

class_path() {
  echo "$1/alderyard-cli/target/*:$1/alderyard-cli/target/lib/*"
}
