#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for main in review/*/main.go; do
  folder=$(dirname "$main")
  go build -o "target/review-$(basename "$folder")" "./$folder"
done
