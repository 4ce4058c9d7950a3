#!/bin/sh
# Builds the stand-ins of the cases into target/review; the project itself is built by the deploy file.
set -e
root="$(cd "$(dirname "$0")/.." && pwd)"
mkdir -p "$root/target/review"
javac -encoding UTF-8 -d "$root/target/review" "$root"/review/standin/*.java
