#!/bin/sh
# Plays this case; see claim.txt beside it.
cd "$(dirname "$0")/../.."
exec target/review/rig reserved review/5
