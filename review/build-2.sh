#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The instances are built by the line
# `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/faultcases
