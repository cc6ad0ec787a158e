/*
Package ctdiskloss runs real control processes and proxies, loses the disks of two control
processes again and again, and checks that control joins them again, takes changes and serves
callers.

# Parts

A System is six control processes, three of which are the seeds of all, two proxies and a group of one
member (package ctlonemember). A Plan is a list of Losses. A Loss strikes right after a change was
acknowledged: two control processes are killed and start again with empty disks, some of them at
another address. The next one strikes CatchUp after they are back, at other control processes. With the
last loss all other processes are killed too, as by a loss of power. Which processes a Loss strikes is
decided by its Victims. Before the first loss, leaders that are seeds are restarted until another
control process leads.

# Rules

  - RuleJoin: CatchUp after a control process is back with an empty disk, it follows the leader or leads,
    and the voters that have their disks are so many that two more losses leave a majority.
  - RuleConfig: a change is acknowledged within AckTimeout, and the newest acknowledged one is read back at
    all control processes after the last fault.
  - RuleServed: each proxy serves a read within RecoverTimeout after the last fault.
  - RuleRuns: no process ends by itself or logs a panic or a data race.

Rules are judged by what processes answer and by what they log: the lines started, lead_control,
follow_control and control_voters. A change has a higher number than those before, so that reading the
newest one back covers them all.

A stall of the lab's machine disturbs all processes, and the contract counts them as lost then: the bounds
hold from the end of the stall on. Stalls are measured by a probe that writes and syncs a file.

What this lab can't do: a killed process keeps what it had written without a sync.

# Usage

	system, err := ctdiskloss.Start(ctdiskloss.Options{BinFolder: "bin", Folder: folder, Logger: logger})
	defer system.Close()
	violations := system.Run(ctx, ctdiskloss.NewPlan(seed))
*/
package ctdiskloss
