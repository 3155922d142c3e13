#!/bin/bash
# Answers that break off after their first part: what the caller gets of the
# next run is only ever the rest of the same answer. Everything else must not
# reach it, and the end must not look complete.
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/../../scripts/site.sh"

start_site raw:raw1,lm,z1 raw:raw2,lm,z1
usual_routes
configure
retry_slack=1000 # so that retries don't depend on earlier requests
settings_entry e1
start_instance e1

# renew: both engines are started again, without a record of failures.
renew()
{
	both back
	wait_for_change e1 upstream-reborn raw1
	wait_for_change e1 upstream-reborn raw2
}

# stream ROUTE MODE
stream()
{
	local id=$1-$2 result
	both "$2"
	call e1 "/$1/x" "$id" -X POST -d "$id" -H 'Token-Usage: 100,20' \
	    >"$workdir/$id"
	result=$?
	show_stream "$id" "$result"
	renew
}

# body ROUTE MODE: a plain answer
body()
{
	local id=$1-$2
	both "$2"
	call e1 "/$1/x" "$id" -X POST -d "$id" >"$workdir/$id"
	show_body "$id" "$?"
	renew
}

echo "== a stream that may be resumed"
for later in rest error error-stream text nothing empty finished anew gap bare; do
	stream hint "cut-then-$later"
done

echo "== a stream whose events have no ids"
stream hint bare-then-rest
stream hint bare-then-bare
stream hint bare-then-error

echo "== a stream that can't be resumed"
stream draft cut-then-rest
stream draft bare-then-bare

echo "== the head of an error follows on the same connection"
stream draft head-then-rest
stream draft head-in-event-then-rest
stream hint head-then-rest
stream hint head-in-event-then-rest
stream hint head-in-event-then-error

echo "== the connection ends after a comment, before the first event"
stream draft comment-then-anew
stream hint comment-then-anew

echo "== fields after the last chunk"
stream hint trailer-then-rest

# take_up MODE: a caller asks for the events after the third one.
take_up()
{
	local id=taken-$1 result
	both "$1"
	call e1 /hint/x "$id" -X POST -d "$id" -H 'Token-Usage: 100,20' \
	    -H 'Last-Event-Id: 3' >"$workdir/$id"
	result=$?
	show_stream "$id" "$result"
	echo "  status $(tail -1 "$workdir/$id")"
	renew
}

echo "== a caller takes a stream up"
take_up cut-then-rest
take_up cut-then-anew
take_up bare-then-bare

echo "== a plain answer"
body hint large-then-text
# Nothing of the first run was passed on: the second run is the whole answer.
body hint small-then-text
