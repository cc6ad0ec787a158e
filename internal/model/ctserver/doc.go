/*
Package ctserver defines what a backend server reports about itself: the
announcement that it sends over HTTP, and the status that it returns for
StatusQuery on a connection.

# Announcements

A backend server announces itself over HTTP to any proxy of its failure domain,
once a second. There is no other list of backend servers. An announcement
contains the incarnation of the backend server's process. An announcement with a
lower incarnation than one already received is outdated and has no effect.

# Usage

	var announcement ctserver.Announcement
	if err := json.Unmarshal(body, &announcement); err != nil {
		return err
	}
	if err := announcement.Check(); err != nil {
		return err
	}
*/
package ctserver
