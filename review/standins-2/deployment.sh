# Starts a small deployment on loopback for the scripts of cases 6 to 8: five
# control nodes and, unless `gateways` and `replicas` are set, three gateways and
# three replicas, in three regions. To be sourced by a script that has set
# `case_folder`.
root=$(cd "$case_folder/../.." && pwd)
tool=$root/target/review-2/tool
program=$root/target/bin/trestlepostd
record=$case_folder/record.txt
work=$(mktemp -d "${TMPDIR:-/tmp}/review-XXXXXX")
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
trouble=${TROUBLE:-1}
grace_s=8
list_address=$net.200:8142
declare -A pid ip region zone

controls=(core-a1 core-a2 core-b1 core-b2 core-c1)
gateways=("${gateways[@]:-front-a}")
[ "${#gateways[@]}" -gt 1 ] || gateways=(front-a front-b front-c)
replicas=("${replicas[@]:-a}")
[ "${#replicas[@]}" -gt 1 ] || replicas=(a b c)
number=10
for it in "${controls[@]}" "${gateways[@]}"; do
  number=$((number + 1))
  ip[$it]=$net.$number
  letter=${it#*-}
  region[$it]=region-${letter:0:1}
  zone[$it]=zone-${letter:0:1}
done

now_ms() { date +%s%3N; }
started_ms=$(now_ms)
note() {
  local ms=$(($(now_ms) - started_ms))
  printf '%3d.%03d  %s\n' $((ms / 1000)) $((ms % 1000)) "$*" >> "$record"
}
finish() {
  exec 2> /dev/null
  for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2> /dev/null || true; done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap finish EXIT
cannot_run() { note "cannot run: $*"; exit 2; }

# write_settings NODE FOUND: the template of the deploy file, filled in.
write_settings() {
  local it=$1 role=gateway extra
  extra="\"callers\": \"${ip[$it]}:8144\", \"readiness\": \"${ip[$it]}:8140\",
    \"forwards\": \"${ip[$it]}:+1\","
  local disk=""
  if [[ $it == core-* ]]; then
    role=control
    extra="\"directory\": \"${ip[$it]}:8147\", \"orders\": \"${ip[$it]}:8146\","
    disk="\"data_folder\": \"$work/data-$it\","
  fi
  cat > "$work/$it.jsonc" <<X
{
  "node": "$it", "region": "${region[$it]}",
  "availability_zone": "${zone[$it]}", "roles": ["$role"], $disk
  "charts_folder": "$root/share/charts", "surface": "platform",
  "first_port": 7660,
  "addresses": { $extra
    "operators": "${ip[$it]}:9464", "peers": "${ip[$it]}:+0" },
  "outgoing_ip": "${ip[$it]}",
  "seeds": ["${ip[core-a1]}:8146", "${ip[core-b1]}:8146", "${ip[core-c1]}:8146"],
  "seeds_port": "+0", "found_at_first_start": $2, "tolerated_losses": 2,
  "zone_regions": { "zone-a": "region-a", "zone-b": "region-b",
    "zone-c": "region-c" },
  "retries": { "ratio": 0.2, "slack": 54 },
  "peer_secret_file": "$root/deploy/peer-secret",
  "limits": { "memory_mb": 256 },
  "platform": { "address": "$list_address", "list_lag": "800 ms" },
  "timing": { "election_timeout": "500 ms", "heartbeat_interval": "150 ms",
    "startup_wait": "400 ms", "drain_timeout": "$grace_s s",
    "drain_grace": "2500 ms", "directory_lifetime": "1 s" }
}
X
}

# start_node NODE FOUND
start_node() {
  write_settings "$1" "$2"
  [[ $1 != core-* ]] || mkdir -p "$work/data-$1"
  (cd "$root" && exec "$program" --settings "$work/$1.jsonc") \
    >> "$work/$1.log" 2>&1 &
  pid[$1]=$!
}

start_all() {
  [ -x "$program" ] || cannot_run "$program is missing"
  [ -x "$tool" ] || cannot_run "$tool is missing"
  printf '%s' "$1" > "$work/list.json"
  "$tool" list "$list_address" "$work/list.json" &
  pid[list]=$!
  for it in "${controls[@]}" "${gateways[@]}"; do start_node "$it" true; done
  note "started: ${controls[*]} ${gateways[*]}"
}

# order NODE METHOD TARGET [FILE]: prints the status and the body.
order() { "$tool" send "${ip[$1]}:8146" "$2" "$3" "${4:-}" 1000; }

# replace VERSION SECONDS: sends the desired state to the nodes in turn, until
# one acknowledges it. Fails if none does in so many seconds.
replace() {
  write_plan "$1" > "$work/plan-$1.json"
  local end=$(($(now_ms) + $2 * 1000)) answer
  while [ "$(now_ms)" -lt "$end" ]; do
    for it in "${controls[@]}"; do
      answer=$(order "$it" POST /-/config/replace "$work/plan-$1.json" |
        head -n 1)
      if [ "$answer" = 200 ]; then
        note "version $1 acknowledged by $it"
        return 0
      fi
      sleep 0.1
    done
  done
  note "version $1 not acknowledged in $2 s; last answer: $answer"
  return 1
}

# read_version SECONDS: reads the desired state from the nodes in turn, until
# one answers 200. Prints its version.
read_version() {
  local end=$(($(now_ms) + $1 * 1000)) answer status version
  while [ "$(now_ms)" -lt "$end" ]; do
    for it in "${controls[@]}"; do
      answer=$(order "$it" GET /-/config/get || true)
      status=$(head -n 1 <<< "$answer")
      if [ "$status" = 200 ]; then
        version=$(grep -o '"version": *[0-9]*' <<< "$answer" | head -n 1 |
          grep -o '[0-9]*$')
        note "read back from $it: version $version"
        echo "$version"
        return 0
      fi
      sleep 0.1
    done
  done
  note "no node answered a read in $1 s; last answer: $status"
  return 1
}

# The control node that leads, by the logs of the nodes that run.
leader() {
  for it in "${controls[@]}"; do
    kill -0 "${pid[$it]}" 2> /dev/null || continue
    grep -h '"leader-changed"' "$work/$it.log" | tail -n 1 |
      sed -nE 's/.*"leader": "([^"]*)".*"term": "([0-9]*)".*/\2 \1/p'
  done | grep -E '^[0-9]+ .' | sort -n | tail -n 1 | cut -d' ' -f2
}

# The services and limits of a desired state with the service "plain".
plain_service='"services":[{"name":"plain","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,"warmup_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}'

# The platform's list: the replicas of "plain".
replica_list() {
  local it separator=
  printf '{"instances":['
  for it in "${replicas[@]}"; do
    printf '%s{"id":"i-%s","backend":"plain","address":"%s","zone":"zone-%s","version":"v1","slots":32,"state":"ready","cold_left_ms":0}' \
      "$separator" "$it" "$(replica_address "$it")" "${it:0:1}"
    separator=,
  done
  printf '],"next_token":null}'
}
replica_address() {
  local n=100
  for it in "${replicas[@]}"; do
    n=$((n + 1))
    [ "$it" != "$1" ] || echo "$net.$n:8080"
  done
}

# start_replicas [MS]: starts the replicas, which write what they run to
# $work/runs. Requests for paths with "/slow" take so many ms.
start_replicas() {
  : > "$work/runs"
  for name in "${replicas[@]}"; do
    "$tool" replica "$(replica_address "$name")" "i-$name" "$work/runs" \
      X-Expect-Instance X-Reply-Stamp "${1:-0}" &
    pid[replica-$name]=$!
  done
}

# call GATEWAY FILE MS: sends the bytes of FILE to a gateway as a client.
call() { "$tool" raw "${ip[$1]}:8144" "$2" "$3"; }

# Waits until a gateway answers a GET at this path with 200.
await_gateway() {
  local n
  for n in $(seq 100); do
    printf 'GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: up-%s-%s\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n' \
      "$2" "$1" "$n" > "$work/up"
    call "$1" "$work/up" 1000 | head -n 1 | grep -q ' 200 ' && return 0
    sleep 0.2
  done
  cannot_run "$1 does not serve requests"
}
