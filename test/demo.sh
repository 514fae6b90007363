#!/bin/sh
# Three instances in front of six backend servers, with stand-ins for the
# platform and the backend servers. Exits with 0 only if every step below
# succeeds.
#   sh test/demo.sh BUILD_FOLDER
set -eu
build=$1
work=$(mktemp -d)
pids=

finish() {
	code=$?
	for pid in $pids; do
		kill "$pid" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	if [ "$code" -ne 0 ]; then
		echo "demo: FAILED"
		tail -n 20 "$work"/*.log
	fi
	rm -rf "$work"
	exit "$code"
}
trap finish EXIT
trap 'exit 1' INT TERM

heading() {
	printf '\n== %s\n' "$1"
}

fail() {
	echo "demo: $1" >&2
	exit 1
}

# launch NAME PROGRAM ARGUMENT...: starts a program; sets $launched to its
# process id
launch() {
	log=$work/$1.log
	shift
	"$@" >"$log" 2>&1 &
	launched=$!
	pids="$pids $launched"
}

# still_running PROCESS_ID: succeeds if the process runs after 0.3 s
still_running() {
	sleep 0.3
	kill -0 "$1" 2>/dev/null
}

# start_standins FIRST_PORT: fails if the ports are in use
start_standins() {
	base=$1
	platform=127.0.0.1:$base
	admin=127.0.0.1:$((base + 1))
	first=$((base + 10))
	failing=$((first + 1))
	launch config "$build/standin" config --listen "$platform"
	still_running "$launched" || return 1
	launch backends "$build/standin" backend \
		--ports "$first-$((first + 5))" --admin $((base + 1))
	still_running "$launched"
}

# retry_for SECONDS COMMAND...: repeats the command until it succeeds
retry_for() {
	tries=$(($1 * 10))
	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

get() {
	curl -sS -m 5 "http://$1"
}

put() {
	curl -sS -f -m 5 -X PUT --data-binary @- "http://$1" >/dev/null
}

caller() {
	echo "127.0.0.$((10 + $1)):$((base + 101))"
}

operators() {
	echo "127.0.0.$((10 + $1)):$((base + 103))"
}

ready() {
	curl -sS -f -m 1 "http://$(operators "$1")/ready"
}

# publish FLOOR_PERCENT: publishes the service's document as the next version
publish() {
	list=
	for i in 0 1 2 3 4 5; do
		domain=$(echo a b c a b c | cut -d ' ' -f $((i + 1)))
		list="$list${list:+,}{\"ip\":\"127.0.0.1\",
			\"port\":$((first + i)),\"failure_domain\":\"$domain\",
			\"slots\":6,\"connections\":350}"
	done
	put "$platform/standin/config/gallery" <<-END
	{
		// How much healthy capacity ejections must leave.
		"healthy_floor": {"percent": $1},
		"service": "gallery",
		"path_prefix": "/gallery",
		"backends": [$list],
		"classes": [{"name": "judge", "priority": 0, "queue": 64},
			{"name": "committee", "priority": 1, "queue": 64}],
		"routes": [
			{"methods": ["GET"], "path_prefix": "/gallery/works",
			 "class": "judge"},
			{"methods": ["POST"], "path_prefix": "/gallery/entries",
			 "class": "committee", "idempotent": false}],
		"shed_marker": {"header": "X-Shed", "value": "1"},
		"drain_marker": {"header": "X-Draining", "value": "1"},
		"probe_path": "/health",
		"load_path": "/load",
		"default_budget_ms": 2000
	}
	END
}

publish_instances() {
	list=
	for i in 1 2 3; do
		domain=$(echo a b c | cut -d ' ' -f "$i")
		list="$list${list:+,}{\"caller\":\"$(caller "$i")\",
			\"peer\":\"127.0.0.$((10 + i)):$((base + 102))\",
			\"failure_domain\":\"$domain\",\"status\":\"live\"}"
	done
	echo "[$list]" | put "$platform/standin/instances"
}

# start_instance NUMBER
start_instance() {
	cat >"$work/$1.json" <<-END
	{
		"callers": "$(caller "$1")",
		"peers": "127.0.0.$((10 + $1)):$((base + 102))",
		"operators": "$(operators "$1")",
		"failure_domain": "$(echo a b c | cut -d ' ' -f "$1")",
		"platform": "$platform",
		"entries_ttl_ms": 1000, // callers ask again after a second
		"drain_max_ms": 10000,
		"random_seed": $1
	}
	END
	launch "instance$1" "$build/nutmegcrank" run -c "$work/$1.json"
	eval "instance$1=$launched"
}

# entry: prints one address from the entries answer of the first instance that
# answers
entry() {
	for i in 1 2 3; do
		answer=$(get "$(caller "$i")/.nutmegcrank/entries?service=gallery" \
			2>/dev/null) || continue
		echo "$answer" | tr '{' '\n' |
			sed -n 's/.*"ip":"\([^"]*\)","port":\([0-9]*\).*/\1:\2/p' |
			head -n 1
		return 0
	done
	return 1
}

# load NAME: sends requests until $work/stop exists and appends their results to
# $work/NAME.calls. It asks for an entry every 25 requests, about half a second,
# which is within the time to live of the entries answer.
load() {
	count=0
	while [ ! -e "$work/stop" ]; do
		[ $((count % 25)) -ne 0 ] || to=$(entry) || continue
		count=$((count + 1))
		curl -s -m 5 -o /dev/null -H "X-Request-Id: $1-$count" \
			-w '%{exitcode} %{http_code}\n' \
			"http://$to/gallery/works?work_ms=10" \
			>>"$work/$1.calls" || :
	done
}

# reads: sends reads to each instance, so that all of them gather evidence
reads() {
	for i in 1 2 3; do
		curl -s -m 20 --no-progress-meter -Z --parallel-max 4 \
			-o /dev/null 2>/dev/null \
			"http://$(caller "$i")/gallery/works?n=[1-40]" || :
	done
}

failing_server_ejected() {
	reads
	for i in 1 2 3; do
		get "$(operators "$i")/audit?since=0"
	done | grep '"kind":"ejected"' | grep "127.0.0.1:$failing"
}

in_force() {
	for i in 1 2 3; do
		get "$(operators "$i")/status?service=gallery" |
			grep -q "\"version\":$1," || return 1
	done
}

heading "stand-ins and three instances in three failure domains"
for port in 17000 17500 18000 18500 19000 END; do
	[ "$port" != END ] || fail "no free ports"
	! start_standins "$port" || break
done
retry_for 5 get "$platform/standin/reads" ||
	fail "the configuration service did not start"
retry_for 5 get "$admin/standin/counts" ||
	fail "the backend servers did not start"
publish 50
publish_instances
for i in 1 2 3; do
	start_instance "$i"
done
for i in 1 2 3; do
	retry_for 10 ready "$i" || fail "instance $i is not ready"
	echo "instance $i is ready at $(caller "$i")"
done

heading "instances that a caller may use"
get "$(caller 1)/.nutmegcrank/entries?service=gallery"
echo
[ -n "$(entry)" ] || fail "the entries answer is empty"

heading "reads"
for n in 1 2 3; do
	curl -sS -m 5 -f -D "$work/head" -H "X-Request-Id: read-$n" \
		"http://$(entry)/gallery/works" | cut -c 1-60
	grep -i '^nutmegcrank-outcome: complete' "$work/head" ||
		fail "a read was not complete"
done

heading "a registration, which must run at most once"
curl -sS -m 5 -f -D "$work/head" -H 'X-Request-Id: register-1' \
	-d 'sculptor=Ana' "http://$(entry)/gallery/entries" | cut -c 1-60
grep -i '^nutmegcrank-outcome: complete' "$work/head" ||
	fail "the registration was not complete"
get "$admin/standin/counts" | grep -o '"register-1":[0-9]*' | tee "$work/ran"
[ "$(cat "$work/ran")" = '"register-1":1' ] ||
	fail "the registration did not run exactly once"

heading "a backend server fails requests while its health path reports healthy"
echo '{"fault":"status"}' | put "$admin/standin/backend?port=$failing"
curl -sS -f -m 5 -o /dev/null -w 'health path answers %{http_code}\n' \
	"http://127.0.0.1:$failing/health"
retry_for 15 failing_server_ejected ||
	fail "the failing backend server was not ejected"
failing_server_ejected | head -n 1

heading "a new version of the service's document is in force on all instances"
publish 40
retry_for 10 in_force 2 || fail "version 2 is not in force everywhere"
echo "version 2 is in force on all three instances"

heading "a planned stop under load"
loads=
for n in 1 2 3 4; do
	load "load$n" &
	loads="$loads $!"
done
pids="$pids $loads"
sleep 1
kill -TERM "$instance3"
stopped=0
wait "$instance3" || stopped=$?
sleep 1
touch "$work/stop"
for pid in $loads; do
	wait "$pid"
done
sort "$work"/load*.calls | uniq -c
[ "$stopped" -eq 0 ] || fail "the planned stop exited with $stopped"
[ "$(cat "$work"/load*.calls | grep -c '^0 200')" -gt 50 ] ||
	fail "no more than 50 requests were answered with 200 during the stop"
! cat "$work"/load*.calls | grep -v '^0 ' ||
	fail "a request was broken off"

heading "the audit trail of instance 1"
get "$(operators 1)/audit?since=0"
echo
echo "demo: all steps succeeded"
