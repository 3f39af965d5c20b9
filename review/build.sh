#!/bin/sh
# Builds the stand-ins that the cases start. It needs nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin
