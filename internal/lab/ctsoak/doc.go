/*
Package ctsoak runs the real programs as processes on loopback, does to them what
failures do, by a plan that a seed decides, and checks while it runs what callers
and backend servers must never see.

# Parts

A Plan says what the site is made of and which faults come when. The proxies and
control processes are processes of their own, each at a loopback address; relays
stand before their addresses and before the members', so that links are cut one
way, delayed, reset or silenced. Members, callers, operators and the service that
promotes members run in this process, without an encoding of their own: package
platform has the words. The Judge hears of every statement from the caller that
sent it and from the member that ran it, and notes what breaks a promise.

# Lock order

A Group's mutex comes before the Judge's. No lock is held during a call that may
wait.

# Usage

	plan := ctsoak.NewPlan(seed, time.Minute)
	report, err := ctsoak.Run(ctx, ctsoak.Options{Programs: "bin", Folder: folder, Plan: plan})
	for _, b := range report.Breaches {
		fmt.Println(b)
	}
*/
package ctsoak
