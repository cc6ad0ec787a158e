/*
Package ctview defines the view of the fleet that control distributes to the
proxies, and the reports that the proxies send to control. The view contains the
live proxies, the members that announced themselves, the primary and term of each
group, and the accepted configuration.

# Versions and deltas

Control numbers the versions of the view in ascending order. A proxy receives a
Delta from its own version to the newest one, and Apply returns the resulting
View. Versions never decrease: a delta to the current version or an earlier one
has no effect. A View is immutable, so readers need no lock.

# Authority and leases

Authority is a lease on the view. Control extends it in the reply to a report.
While a proxy has authority, it may act on the groups of its view, such as sending
statements to a primary and acknowledging writes. A Lease is narrower: it permits
the holder of a primary to acknowledge the writes of one term.

# Usage

	next, err := view.Apply(delta)
	if err != nil {
		return err
	}
	if group, ok := next.Groups["fit-registry"]; ok {
		fmt.Println(group.Primary, group.Term)
	}
*/
package ctview
