#!/usr/bin/env bash
# A machine that is drained as faulty and holds services is neither used again nor replaced. See claim.txt.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
[ -f target/granitepath.jar ] && [ -d target/review-2 ] || { echo "could not run: build first, then review/build-2.sh"; exit 2; }
exec java -Xmx512m -Dsun.net.httpserver.nodelay=true -cp target/granitepath.jar:target/review-2 review2.DrainedForever "$case_folder"
