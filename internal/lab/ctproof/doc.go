/*
Package ctproof holds the end-to-end tests of the guarantees that callers get:
durability of acknowledged writes, session consistency, truthful outcomes and
limits of members. The tests run real processes on loopback and kill them,
pause them, partition their network and delay them. The package has tests only.

# How a test works

A test starts a fleet, lets callers send requests and injects a failure. It then
compares the outcomes that were reported to callers with the members' logs. No
test judges how long something took: waits have a limit only so that a run ends.
docs/PROOFS.md lists which test covers which guarantee.

# Usage

	go test ./internal/lab/ctproof -run TestReadYourWrites
*/
package ctproof
