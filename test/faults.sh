#!/bin/sh
# Runs the fault matrix, four cells at a time, and writes docs/FAULTS.md. With a
# filter it runs only the matching cells; the others keep their last verdict
# from BUILD_FOLDER/faults.report.
#   sh test/faults.sh BUILD_FOLDER [GTEST_FILTER]
set -u
build=$1
filter=${2:-Faults/FaultMatrix.*}:FaultMatrixTable.*
report=$build/faults.report
shards=4
[ $# -gt 1 ] || rm -f "$report"

shard=0
pids=
while [ "$shard" -lt "$shards" ]; do
	NUTMEGCRANK_FAULTS=all NUTMEGCRANK_FAULTS_REPORT="$report" \
		GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$shard \
		"$build/process_tests" --gtest_filter="$filter" \
		>"$build/faults$shard.log" 2>&1 &
	pids="$pids $!"
	shard=$((shard + 1))
done
code=0
for pid in $pids; do
	wait "$pid" || code=1
done
grep -h '^\[  FAILED  \] Faults.*ms)' "$build"/faults[0-9].log

awk '
function cell(times, fault, step) {
	if ((fault, step) in never)
		return "-"
	return ((times, fault, step) in verdict) ? \
		verdict[times, fault, step] : "not run"
}
function table(times, title,   i, j, line) {
	print "\n## " title "\n"
	line = "| fault |"
	for (j = 1; j <= steps; j++)
		line = line " " step_at[j] " |"
	print line
	line = "|---|"
	for (j = 1; j <= steps; j++)
		line = line "---|"
	print line
	for (i = 1; i <= faults; i++) {
		line = "| " fault_at[i] " |"
		for (j = 1; j <= steps; j++)
			line = line " " \
				cell(times, fault_at[i], step_at[j]) " |"
		print line
	}
}
$1 == "Row" && !($2 in row) { row[$2] = 1; fault_at[++faults] = $2; next }
$1 == "Column" && !($2 in column) { column[$2] = 1; step_at[++steps] = $2; next }
$1 == "Row" || $1 == "Column" { next }
$1 == "Never" {
	never[$2, $3] = 1
	why = $4
	for (i = 5; i <= NF; i++)
		why = why " " $i
	reason[$2 " at " $3] = why
	next
}
{
	verdict[$1, $2, $3] = $4
	calls[$1, $2, $3] = $5 " " $6 " " $7 " " $8
}
END {
	for (c in verdict) {
		count[verdict[c]]++
		split(calls[c], n, " ")
		complete += n[1]; not_run += n[2]
		unknown += n[3]; broken += n[4]
	}
	print "# Fault matrix\n"
	print "Written by `make faults`. Rows are faults, columns the steps that"
	print "they hit; real processes behind the fault proxy. A cell holds when"
	print "every promise held in it, by the run log of the backend servers, the"
	print "callers'"'"' records and the status of the instances, and when the"
	print "service recovered and the step came to its end after the fault.\n"
	print "- cells held: " count["held"] + 0
	print "- cells failed: " count["FAILED"] + 0
	print "- requests: " complete " complete, " not_run " not-run, " \
		unknown " unknown, " broken " broken off"
	table("Once", "Each fault once")
	table("Twice", "Each fault twice")
	table("WithOther", "Each fault together with one other")
	print "\n## Cells that cannot occur\n"
	fflush()
	for (r in reason)
		print "- " r ": " reason[r] | "sort"
}' "$report" >docs/FAULTS.md
grep '^- cells' docs/FAULTS.md
exit "$code"
