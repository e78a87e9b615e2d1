#!/bin/sh
# Plays the case; see claim.txt. Run from anywhere after the build of deploy/system.toml and
# review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/papayaport-site ] && [ -x review/10/server/main ] || exit 2
exec timeout -k 5 110 review/10/server/main "$here/record.txt"
