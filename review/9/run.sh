#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
classes="$root/target/review-3"
host_jar="$root/alderyard-cli/target/host/alderyard-host.jar"
if [ ! -e "$classes/CoreDiskLostAfterReplaced.class" ] || [ ! -e "$host_jar" ]; then
  echo "run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
cd "$root" || exit 2
timeout 115 java -Xmx128m -cp "$classes" CoreDiskLostAfterReplaced "$root" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
