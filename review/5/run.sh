#!/bin/sh
# Run the case, which writes record.txt beside this script; TROUBLE=0 leaves out the disruption.
exec python3 "$(dirname "$0")/case.py"
