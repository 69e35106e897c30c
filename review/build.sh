#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/, beside the project's own program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
