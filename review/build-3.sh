#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need the Go toolchain and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin review/standin-3/*.go
