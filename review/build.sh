#!/bin/sh
# Builds the stand-ins of the cases. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review ./review/standin
