# Functions shared by the launch scripts. The project is built if its jars are missing.

build_if_needed() {
  if ! ls "$1"/alderyard-cli/target/alderyard-cli-*.jar >/dev/null 2>&1; then
    echo "building alderyard ..." >&2
    (cd "$1" && mvn -B -q -ntp -DskipTests package >&2)
  fi
}

class_path() {
  echo "$1/alderyard-cli/target/*:$1/alderyard-cli/target/lib/*"
}
