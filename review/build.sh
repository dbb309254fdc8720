#!/bin/sh
# Builds the stand-ins of the scripts in review/. The build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
