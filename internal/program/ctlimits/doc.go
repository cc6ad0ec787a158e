/*
Package ctlimits enforces the rate limits of workspaces at a proxy. The proxy counts the
operations of the workspaces whose connections it opens, against caps that control grants
with its replies to reports. The decisions are those of package ctquota.

# Waiting

An operation over the cap is refused at once if control has reported that the workspace
asks for more than its limit. Otherwise a newer cap may allow it: it waits until its
deadline, and the next report is sent early to ask for one.

# Usage

	limits := ctlimits.New(ctlimits.Options{...})
	pools.Quotas = limits
	uplink := ctuplink.New(ctuplink.Options{
		Quotas:      limits,
		Subscribers: []ctuplink.ViewSubscriber{gateway, limits},
		...
	})
*/
package ctlimits
