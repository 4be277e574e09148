#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts into the given folder.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p "$1"
javac -d "$1" ./*.java
