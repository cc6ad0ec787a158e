/*
Package ctcontrol runs a control process. Control is the control plane of the fleet: a
leader elected among its processes collects the proxies' reports and the members'
announcements, sends the view to the proxies, grants write leases and authority, decides on
changes of primaries and accepts operators' changes of the configuration.

# Parts

Control holds the leader's state in one table and applies the rules of packages
ctfailover, ctsuccession, ctregister and ctroster to it. A decision takes effect only once
it is committed in the replicated log, which Replica runs and which drives Control as its
StateMachine. Commands to members and promotion requests run on a pool of workers, outside
of the table's lock.

Process and Service each run a Control with its Replica. Process has its own QUIC and HTTP
servers and stores the log in a ctstore.Store. Service uses the transport and the
ctjournal.Journal of its caller, which also serves the operators.

# Proxies and followers

Proxies may send their reports and watches to any Service. One that does not lead forwards
reports and announcements to the leader in batches, and answers watches from a mirror of
the leader's view (package ctmirror). Only the leader decides: it grants authority in the
replies that the others pass on.

# Usage

	service, err := ctcontrol.NewService(options)
	if err != nil {
		return err
	}
	if err := service.Start(ctx); err != nil {
		return err
	}
	go service.Serve(ctx, stream)
	err = service.Announce(ctx, announcement)
	release, source, err := service.CurrentConfig(ctx)
*/
package ctcontrol
