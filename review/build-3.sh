#!/usr/bin/env bash
# Compiles the stand-ins of the cases 7 to 11 into target/review-3. Needs a JDK and nothing else.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
classes="$root/target/review-3"
rm -rf "$classes"
mkdir -p "$classes"
javac -d "$classes" "$root"/review/standins-3/*.java
