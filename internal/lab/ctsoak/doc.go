/*
Package ctsoak tests a whole fleet under injected faults. It runs the real programs
as processes on loopback addresses, together with simulated members, callers and
operators. It injects faults such as kills, network cuts and lost disks while
callers send statements, and checks invariants during the run: for example that
acknowledged commits are durable and that reads are fresh enough. A seed decides
the plan of a run.

# Parts

A Plan says how large the fleet is and which faults are injected when. Each proxy
and each control process runs in a process of its own with its own loopback
address. A relay stands in front of the peer port of each process and in front of
each member, so that connections can be cut in one direction, delayed, reset or
stalled. Members, callers, operators and the promotion service run in the test
process; package platform encodes their HTTP messages, and package ctpeer, which
shares no code with the product, those of the line protocol. The Checker receives each
statement from the caller that sends it and from the member that runs it, and
each promotion request as the service receives it. It records violations of the
invariants.

# Texts and repeated answers

In each seed callers send any text (package cttext) and some queries that can't be passed
on, members return any rows, and members send some answers twice (package ctstutter). Texts
are compared byte for byte, and a success with the one answer that a member made for it.

# Held requests

The promotion service compares no epochs. A requestGate in front of it holds the
requests of a control process for a while and lets them pass at the end, also if
their sender has lost its lead or has ended by then. An Overtake fault holds the
first request after the end of a primary and cuts its sender off, so that another
process leads before the request is handled.

# Excuses

Some invariants are not judged at a process that was disturbed in the last
stableWindow. None of these excuses a lost commit, a stale read, a mixed answer,
an older release that is read from control, or promotion requests that share an
epoch or fall back to an earlier one.

# Lock order

A Group's mutex is acquired before the Checker's. The operator's mutex is acquired
before those of the hosts, the Fleet and the Checker. No lock is held during a call
that may wait.

# Usage

	plan := ctsoak.NewPlan(seed, time.Minute)
	report, err := ctsoak.Run(ctx, ctsoak.Options{BinFolder: "bin", Folder: folder, Plan: plan})
	for _, v := range report.Violations {
		fmt.Println(v)
	}
*/
package ctsoak
