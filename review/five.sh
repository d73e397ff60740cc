#!/bin/sh
# Plays one case five times with its disruption and once without, and prints the exit codes.
cd "$(dirname "$0")/.." || exit 2
for n in 1 2 3 4 5; do
  review/"$1"/run.sh > /dev/null
  echo "case $1, run $n: exit code $?, $(grep summary review/"$1"/record.txt)"
done
cp review/"$1"/record.txt review/"$1"/record.trouble
TROUBLE=0 review/"$1"/run.sh > /dev/null
echo "case $1, TROUBLE=0: exit code $?, $(grep summary review/"$1"/record.txt)"
mv review/"$1"/record.trouble review/"$1"/record.txt
