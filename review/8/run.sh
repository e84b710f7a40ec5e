#!/bin/sh
# The operator removes a route while a job of it waits for its second step. Exits with 1 if that step
# never starts, 0 if it runs, 2 if the case could not run. TROUBLE=0: the route stays.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig-2 ] || exit 2
exec target/review-2/rig-2 drop-ticket target/release/hickory-entry review/8/record.txt
