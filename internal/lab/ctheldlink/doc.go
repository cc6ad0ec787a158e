/*
Package ctheldlink runs real control processes and proxies around a group of simulated
members, over links that can be held. Nothing passes a held link. What was written
meanwhile is delivered at the end of the hold, also if the writer has closed its
connection or has ended: a promotion request can take effect long after its sender has
given it up.

# Parts

A Network holds the state of the links between hosts. A relay stands in front of each
process, each member and the service that promotes members. The Group simulates members
with logs of their own, and the Service promotes them. Callers read and write through the
proxies. The Judge sees all promotion requests, all statements that members run and all
answers to callers. Members and callers speak through package ctpeer, which shares no code
with the product; texts are compared byte for byte.

Callers send any text (package cttext): names, values, shapes, items and data, and some queries
that can't be passed on. Members return any rows, and send some answers twice (package ctstutter).

# Rules

The comments of the constants of type Rule say what the Judge checks, and the platform's name
of each rule follows here:

  - ONE: RuleSharedEpoch, RuleTurns and RuleEpochOrder where the service receives a request,
    RuleOnePrimary where a commit is acknowledged.
  - LOST: RuleLost at each promotion and at the end, RuleConfig for the configuration.
  - REFUSED: RulePromise. TWICE: RuleTwice. Both look at the last log.
  - UNASKED, PINNED and STALE: RuleUnasked, RulePinned and RuleStale where a member runs a
    statement. STALE covers routes of all three kinds of freshness.
  - MIXED: RuleMixed where a caller receives a success, or anything while it waits for nothing.
  - UNASKED inside other requests: RuleMalformed where a caller has sent such a query, and
    RuleUnasked at the members.
  - CONFIG: RuleConfig at the end. Fault: RuleRunning at the end.

The others can't occur here: ROUTE, as there is one group and no address is used again; DRAIN
and LOST around planned work, as no member drains and nothing is stopped or reloaded; the rest
of CONFIG, as there is one configuration, in force before the first fault;
RECOVER, as callers are served again or the run fails. Outside a disturbance the rule of turns
is judged for all requests; RuleEpochOrder and RuleSharedEpoch have no excuse.

# Lock order

A Group's mutex is acquired before those of the Judge and the Network. No lock is held
during a call that may wait.

# Usage

	fleet, err := ctheldlink.Start(ctheldlink.Options{BinFolder: "bin", Folder: folder, Logger: logger})
	defer fleet.Close()
	hold := fleet.Network.Hold("control-0", ctheldlink.ServiceHost)
	...
	hold.Release()
	violations := fleet.Judge.Violations()
*/
package ctheldlink
