package ctquorum

// UnansweredRounds returns how many unanswered rounds a leader remembers for a follower.
func (n *Node) UnansweredRounds(peer Peer) int {
	return len(n.followers[peer].sent)
}
