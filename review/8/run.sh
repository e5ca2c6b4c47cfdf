#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-rig ] && [ -x target/godwithatch ] || exit 2
exec target/review-rig mirror "$folder"
