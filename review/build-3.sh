#!/bin/bash
# Builds the stand-ins and checks that the scripts of cases 11 to 15 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/harness ./review/harness
