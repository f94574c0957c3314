#!/usr/bin/env bash
# The core machine that leads loses its process and its disk, three times with
# 2.6 s in between; each is back after 0.5 s with an empty disk. Afterwards the
# acknowledged desired state must be read back, and a new one be acknowledged.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
: > "$case_folder/record.txt"
# shellcheck source=review/standins-2/deployment.sh
. "$case_folder/../standins-2/deployment.sh"

write_plan() {
  cat <<X
{"version":$1,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/get/","kind":"idempotent","timeout_ms":2000,"goal_ms":300,"priority":1,"backend":"plain","attempts":2}],"services":[{"name":"plain","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
X
}

start_all '{"instances":[],"next_token":null}'
replace 3 25 || cannot_run "the first desired state was not taken"
sleep 10  # all have been in touch for contact_ms
replace 5 6 || cannot_run "the second desired state was not taken"
for round in 1 2 3; do
  began=$(now_ms)
  lost=$(leader)
  [ -n "$lost" ] || cannot_run "no leader is known"
  if [ "$trouble" != 0 ]; then
    kill -KILL "${pid[$lost]}"
    wait "${pid[$lost]}" 2> /dev/null
    rm -rf "$work/data-$lost"
    note "$lost lost its process and its disk"
    sleep 0.5
    start_node "$lost" false
    note "$lost started again with an empty disk"
  else
    note "$lost leads"
  fi
  [ "$round" = 3 ] || while [ "$(now_ms)" -lt $((began + 2600)) ]; do
    sleep 0.02
  done
done
sleep 12  # recovery_s
broken=0
version=$(read_version 10) || broken=1
[ "${version:-5}" -ge 5 ] || broken=1
replace 7 10  # noted only: the rule is about what is read back
note "$([ $broken = 0 ] && echo "the rule held" || echo "the rule was broken")"
exit $broken
