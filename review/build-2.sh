#!/usr/bin/env bash
# Builds the programs of the cases 6 and up, which hold the stand-ins and clients, into target/review-2. Needs only the
# packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
builds=()
for source in review/{6,7,8,9,10}/main.cpp; do
    g++ -std=c++20 -O1 -Wall -pthread -I review/standin-2 "$source" -o "target/review-2/case-$(basename "$(dirname "$source")").new" &
    builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
for program in target/review-2/*.new; do mv "$program" "${program%.new}"; done
