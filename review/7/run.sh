#!/bin/sh
# A minion is lost for good while a gang starts; another one has room for the whole gang. Exits with 1 if
# the gang does not run again, 0 if it does, 2 if the case could not run. TROUBLE=0: no minion is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig-2 ] || exit 2
exec target/review-2/rig-2 gang target/release/hickory-entry review/7/record.txt
