#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./review/standin2
