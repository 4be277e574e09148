#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
repository="$(cd "$here/../.." && pwd)"
classes="$(mktemp -d)"
trap 'rm -rf "$classes"' EXIT
"$here/../build.sh" "$classes" || exit 2
timeout --signal=TERM --kill-after=5 115 java -Xmx256m -cp "$classes" ManyConfigurations "$repository" "$here"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
