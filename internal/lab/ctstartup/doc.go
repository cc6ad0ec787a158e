/*
Package ctstartup simulates how a fleet regains its authority after all its processes have
started at once, in virtual time and in one goroutine. The proxies' choice of a control
process and their pauses are those of package ctseek, and the sizes of the messages are those
of encoded frames. Everything that computes or sends is replaced by a cost, so that a run
depends on its seed alone.

# Parties

Six control processes have a share of a core and a link. Both are divided evenly among what is
under way, as a scheduler divides a core among goroutines and a network a link among
connections. One process leads. It loses its place when most others have not handled its
heartbeats for an election timeout, and its successor starts without a view.

A proxy has the two loops of package ctuplink: reports, which bring authority, and watches,
which bring the view. It gives up a report after 0.7 s and a watch after 3.5 s.

# Usage

	result := ctstartup.Run(ctstartup.Plan{Proxies: 300, Seed: 1})
	for _, p := range result.Peaks {
		...
	}
*/
package ctstartup
