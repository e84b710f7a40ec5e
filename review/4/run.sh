#!/bin/sh
# Plays this case; see claim.txt beside it.
cd "$(dirname "$0")/../.."
exec target/review/rig failed-once review/4
