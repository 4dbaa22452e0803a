#!/bin/bash
# Suspends the machine of an entry that has requests which it has not read. See claim.txt;
# with TROUBLE=0 it isn't suspended.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/savorystair ] && [ -x target/harness ] || exit 2
exec target/harness suspended-entry "review/$(basename "$here")"
