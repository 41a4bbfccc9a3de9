#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins "$source" -o "target/review/case-$name"
done
