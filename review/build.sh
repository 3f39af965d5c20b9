#!/bin/sh
# Builds the stand-ins that the cases start. Beside the standard library they use golang.org/x/sys, which the project has already.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin
