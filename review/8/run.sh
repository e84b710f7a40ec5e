#!/bin/sh
# An order gets no answer and reaches its minion late, when that has started again under its id. Exits
# with 1 if the task runs twice at the same time, 0 if it doesn't, 2 if the case could not run. TROUBLE=0:
# the order is answered and the minion does not crash.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig-2 ] || exit 2
exec target/review-2/rig-2 late target/release/hickory-entry review/8/record.txt
