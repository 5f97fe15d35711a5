#!/usr/bin/env bash
# Runs the case with the programs of the deploy file's build and of
# review/build-2.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
[ -x target/review-2/review-rig ] && [ -x target/platform/pumiceturn-gateway ] || exit 2
exec target/review-2/review-rig draining-servers review/8/record.txt
