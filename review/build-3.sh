#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin3 ./review/_standin3
