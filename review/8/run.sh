#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../common-2/run_case.sh"
