// Command _standin-3 plays the cases of the third review: the platform's store, upstreams and
// consumers as stand-ins on loopback addresses, and peridotmoor-entry as separate processes.
// Its only argument is the name of a scenario. It runs in the root of the repository, writes
// to record.txt in the folder that the variable CASE names, and exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
package main
