/*
Package ctview holds the view of the fleet that control gives to the proxies:
the live proxies, the members that announced themselves, the groups' primaries
and terms, and the accepted configuration.

# Versions and deltas

Control numbers the versions of the view in ascending order. A proxy gets a
Delta from the version that it has to the newest one; Apply makes the next View
of it and never goes back: a delta to a version at or below the one in hand
changes nothing. A View is never changed once made, so that readers need no
lock.

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
