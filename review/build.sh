#!/bin/sh
# Builds the stand-ins of all cases.
set -e
cd "$(dirname "$0")/.."
for server in review/[1-5]/server; do
	go build -o "$server" "$server/main.go"
done
