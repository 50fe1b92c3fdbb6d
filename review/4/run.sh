#!/usr/bin/env bash
# Two crashes of the leader while wide arrays are open: every controller runs out of memory. See claim.txt.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -f target/granitepath.jar ] && [ -d target/review-2 ] || { echo "could not run: build first, then review/build-2.sh"; exit 2; }
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true -cp target/granitepath.jar:target/review-2 review2.WideJobs "$case_folder"
