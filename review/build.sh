#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/ ./review/play
