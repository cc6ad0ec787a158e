/*
Package ctproof proves what must always hold, with real processes on loopback
that are killed, frozen, cut off and delayed. It has tests only.

# How a proof works

A proof starts a fleet, puts callers to work, does to the fleet what a failure
does, and then compares what callers were told with what the members' logs
hold. No proof judges how long something took: waits are bounded only so that a
run ends. docs/PROOFS.md lists which promise is proved by which test.

# Usage

	go test ./internal/lab/ctproof -run TestReadYourWrites
*/
package ctproof
