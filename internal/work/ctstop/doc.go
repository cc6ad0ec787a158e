/*
Package ctstop tells the parts of a process how far its planned stop has come, so that
each request that the process has read is answered before its connection ends.

# Phases

Transactions may go on at first. Then their statements are refused, except those that end
them. At last the queries that still run are abandoned: whoever waits for an answer stops
waiting and says what is known of the outcome.

# Usage

	var stop ctstop.Stop
	...
	stop.EndTransactions()
	...
	stop.AbandonQueries()

and in the code that waits for an answer:

	select {
	case answer := <-answers:
		...
	case <-stop.Abandoned():
		...
	}
*/
package ctstop
