#!/usr/bin/env bash
# Builds the stand-in of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin review/standin-2/*.go
