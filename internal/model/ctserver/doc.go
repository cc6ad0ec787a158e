/*
Package ctserver holds what a backend server says of itself: its announcement
to the system and the status that it answers on a connection.

# Announcements

A backend server announces itself over HTTP to any proxy of its failure domain,
once a second. There is no other list of backend servers. An announcement
carries the incarnation of the backend server's process: an announcement of a
lower incarnation than one already seen is out of date and changes nothing.

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
