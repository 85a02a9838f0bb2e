#!/usr/bin/env bash
# Builds the programs of the cases into target/review/, outside CMake. Run it after the build of deploy/system.toml.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
for source in "$root"/review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$root/target/review/case-$number"
done
