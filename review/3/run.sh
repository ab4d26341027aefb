#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/lichenstair ] || [ ! -x target/review/harness ]; then
  echo "build first: the command of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
timeout --kill-after=1 118 target/review/harness start-after-cancel "$here/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
