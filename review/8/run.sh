#!/usr/bin/env bash
# A client sends one request whose body holds the text of another request. The
# body has the transfer coding gzip, which does not tell where it ends. No
# replica may run the inner request. With TROUBLE=0 the body has a length.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
: > "$case_folder/record.txt"
# shellcheck source=review/standins-2/deployment.sh
. "$case_folder/../standins-2/deployment.sh"

write_plan() {
  cat <<X
{"version":$1,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/get/","kind":"idempotent","timeout_ms":2000,"goal_ms":300,"priority":1,"backend":"plain","attempts":2},{"name":"r2","host":"shop.example","path_prefix":"/book/","kind":"mutating","timeout_ms":2000,"goal_ms":300,"priority":1,"backend":"plain","attempts":2}],$plain_service}
X
}

start_all "$(replica_list)"
start_replicas
replace 3 25 || cannot_run "the first desired state was not taken"
await_gateway front-a /get/up

printf 'POST /book/inner HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: inner\r\nX-Deadline-Ms: 2000\r\n\r\n' > "$work/body"
size=$(stat -c %s "$work/body")
if [ "$trouble" != 0 ]; then
  framing="Transfer-Encoding: gzip"
else
  framing="Content-Length: $size"
fi
{
  printf 'POST /book/outer HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: outer\r\nX-Deadline-Ms: 2000\r\n%s\r\n\r\n' "$framing"
  cat "$work/body"
} > "$work/request"
: > "$work/runs"
note "sent to front-a as one request, its body of $size bytes in [ ]:"
{ head -c -"$size" "$work/request"; echo "[$(cat "$work/body")]"; } |
  tr -d '\r' | sed 's/^/         /' >> "$record"
answer=$(call front-a "$work/request" 3000 | tr -d '\r')
note "answered:"
sed 's/^/         /' <<< "$answer" >> "$record"
note "run by replicas:"
sed 's/^/         /' "$work/runs" >> "$record"
broken=0
if grep -q 'id inner,' "$work/runs"; then
  note "a replica ran the request inside the body"
  broken=1
fi
if grep 'id outer,' "$work/runs" | grep -vq ", $size bytes"; then
  note "a replica ran the request with another body"
  broken=1
fi
note "$([ $broken = 0 ] && echo "the rule held" || echo "the rule was broken")"
exit $broken
