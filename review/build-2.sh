#!/bin/sh
# Builds the programs of the cases 6 to 10; run after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
status=0
for folder in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$folder/server/main.go" ]; then
		go build -o "$folder/server/main" "$folder/server/main.go" || status=1
	fi
done
exit $status
