#!/usr/bin/env bash
# Builds the programs of the cases. Each holds the stand-ins that its case starts. Run the
# deploy file's build first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]/; do
  [ -f "$folder/main.go" ] && go build -o "target/review/case-$(basename "$folder")" "./$folder"
done
exit 0
