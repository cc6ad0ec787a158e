/*
Package ctcontention models one member that several proxies share, without a network and on a clock
of its own, to compare ctadmission with the order in which proxies sent statements and opened
connections before it. The proxies' requests wait in order of arrival.

# Usage

	w := ctcontention.New(ctcontention.Deployment{Count: 10, Share: 4, MaxConnections: 42}, ctcontention.WithControl)
	w.Run(3*time.Second, 200)
	result := w.Measure(2*time.Second, 600)
*/
package ctcontention
