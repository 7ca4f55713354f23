#!/usr/bin/env bash
# Tests the exit status of pebblenotch_drill and that it prints at most one line to standard error.
# Usage: drill_exit_status.sh PROGRAM
set -u
drill=$1
fails=0
expect() {  # name, expected status, pattern for standard error, input as printf escapes
  local err status
  err=$(printf "$4" | timeout 20 "$drill" 2>&1 >/dev/null)
  status=$?
  if [ "$status" != "$2" ] || ! grep -Eq "$3" <<<"$err" || [ "$(grep -c . <<<"$err")" -gt 1 ]; then
    echo "$1: status $status, standard error: $err"
    fails=1
  fi
}
expect 'no input' 0 '^$' ''
expect 'an empty batch' 0 '^$' '\x10\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0'
expect 'header cut short' 2 'header cut short at byte 5' '\x10\0\0\0\0'
expect 'frame cut short' 2 'ends inside a frame at byte 17' '\x20\0\0\0\1\0\0\0\1\0\0\0\0\0\0\0\x0c'
expect 'huge length, little input' 2 'ends inside a frame at byte 16' '\xff\xff\xff\xff\1\0\0\0\1\0\0\0\0\0\0\0'
expect 'length below the header' 2 'frame length.* at byte 0' '\x08\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0'
expect 'unknown record code' 2 'unknown record code at byte 16' '\x11\0\0\0\1\0\0\0\1\0\0\0\0\0\0\0\x63'
exit $fails
