#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into review/out. Runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac --release 17 -Xlint:all -d out standins/*.java
