#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/case_version_back ] || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec target/review-2/case_version_back "$here/record.txt"
