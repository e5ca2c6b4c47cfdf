#!/bin/sh
# Builds the stand-ins of review/6 to review/10. Run it in the root of the repository.
set -e
go build -tags review -o target/review-rig ./review/rig
