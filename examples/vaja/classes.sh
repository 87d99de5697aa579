#!/usr/bin/env bash
# Create the classes of vaja.
set -e
here="$(dirname "$0")"
currantbarrow class create hold --target-ms 400 --wait "$@" --settings "$here/operator.yaml"
currantbarrow class create booking --target-ms 1000 --wait "$@" --settings "$here/operator.yaml"
currantbarrow class create cancellation --target-ms 800 --wait "$@" --settings "$here/operator.yaml"
currantbarrow class create calendar --target-ms 3000 --wait "$@" --settings "$here/operator.yaml"
