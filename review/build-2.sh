#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run from the project's root after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/_standin2
