#!/bin/bash
# Sends heartbeats of another writer to the agents. See claim.txt; with TROUBLE=0 there are
# none.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/savorystair ] && [ -x target/harness ] || exit 2
exec target/harness other-writer "review/$(basename "$here")"
