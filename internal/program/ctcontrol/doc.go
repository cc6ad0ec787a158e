/*
Package ctcontrol runs a control process: it hears the proxies' reports, grants
write leases, decides on changes of primaries and takes operators' changes of
the configuration.

# Parts

The decisions are those of packages ctfailover, ctregister and ctroster. This
package feeds them events through a pool of workers over one shared table, and
makes their proposals durable through a Journal before they count.

# Usage

	control := ctcontrol.New(options)
	go control.Run(ctx)
	reply := control.Report(report)
	result, err := control.Change(ctx, change)
*/
package ctcontrol
