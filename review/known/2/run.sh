#!/usr/bin/env bash
# Plays the case with the programs of the deploy file; see claim.txt. Needs the
# build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption.
cd "$(dirname "$0")/../../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
if [ ! -x review/build/rig ] || [ ! -x target/platform/pumiceturn-gateway ]; then
  echo "build first" >&2
  exit 2
fi
timeout -k 2 115 review/build/rig parts "$folder" review/known/2/record.txt
result=$?
[ $result -le 1 ] || result=2
exit $result
