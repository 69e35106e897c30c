#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/. It needs the modules that the build of the deploy file uses, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/stand3
