package ctcontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// maxLinks bounds the processes of which the messages are recorded.
const maxLinks = 64

// link records the messages between this process and another control process.
type link struct {
	// open reports whether the stream to the process is open, and lastError why it was last
	// closed or not opened.
	open      bool
	lastError string
	// received names the last message from the process, which came at receivedAt.
	received   string
	receivedAt time.Time
	// discarded counts messages for an earlier incarnation of this process.
	discarded uint64
}

// LinkState is a link as logs and operators see it.
type LinkState struct {
	Process ctid.Control `json:"process"`
	// Asked reports whether the process is asked to join.
	Asked      bool   `json:"asked"`
	StreamOpen bool   `json:"stream_open"`
	LastError  string `json:"last_error,omitempty"`
	Received   string `json:"received,omitempty"`
	// ReceivedBefore is the time since the last message, in seconds.
	ReceivedBefore float64 `json:"received_before_s,omitempty"`
	Discarded      uint64  `json:"discarded,omitempty"`
	// Answer is the last answer to a request to join, with the leader that it named and the time
	// since then, in seconds.
	Answer         ctquorum.JoinOutcome `json:"answer,omitempty"`
	AnswerLeader   ctid.Control         `json:"answer_leader,omitempty"`
	AnsweredBefore float64              `json:"answered_before_s,omitempty"`
}

// links records the messages between this process and all other control processes.
type links struct {
	table cttable.Table[ctid.Control, link]
}

// update changes the record of a process, and creates it if there is room.
func (l *links) update(name ctid.Control, makeRoom func(rows map[ctid.Control]*link), change func(k *link)) {
	var held ctlock.Held
	l.table.With(&held, func(rows map[ctid.Control]*link) {
		k, ok := rows[name]
		if !ok {
			if len(rows) >= maxLinks {
				makeRoom(rows)
			}
			if len(rows) >= maxLinks {
				return
			}
			k = &link{}
			rows[name] = k
		}
		change(k)
	})
}

// evictOldest removes the record of the process that was heard from longest ago.
func evictOldest(rows map[ctid.Control]*link) {
	delete(rows, oldest(rows))
}

// evictUnheard removes the record of a process that was never heard from, if there is one. An
// attempt to reach a process, which may end when its outbox is closed already, takes no record
// from one that was heard from.
func evictUnheard(rows map[ctid.Control]*link) {
	if name := oldest(rows); rows[name].receivedAt.IsZero() {
		delete(rows, name)
	}
}

// oldest returns the process that was heard from longest ago, or never.
func oldest(rows map[ctid.Control]*link) ctid.Control {
	return slices.MinFunc(slices.Collect(maps.Keys(rows)), func(a, b ctid.Control) int {
		return rows[a].receivedAt.Compare(rows[b].receivedAt)
	})
}

// setOpen records that the stream to a process was opened.
func (l *links) setOpen(name ctid.Control) {
	l.update(name, evictUnheard, func(k *link) { k.open, k.lastError = true, "" })
}

// setClosed records that the stream to a process could not be opened or was closed.
func (l *links) setClosed(name ctid.Control, err error) {
	l.update(name, evictUnheard, func(k *link) { k.open, k.lastError = false, err.Error() })
}

// addReceived records a message from a process, and whether it was discarded.
func (l *links) addReceived(now time.Time, name ctid.Control, message ctquorum.Message, discarded bool) {
	l.update(name, evictOldest, func(k *link) {
		k.received, k.receivedAt = messageName(message), now
		if discarded {
			k.discarded++
		}
	})
}

// states returns the records by name, with those of the asked processes among them.
func (l *links) states(held *ctlock.Held, now time.Time, asked []ctquorum.JoinAnswer) []LinkState {
	states := make(map[ctid.Control]LinkState)
	for _, a := range asked {
		state := LinkState{Process: a.From.Name, Asked: true, Answer: a.Outcome, AnswerLeader: a.Leader.Name}
		if a.Outcome != "" {
			state.AnsweredBefore = now.Sub(a.At).Seconds()
		}
		states[a.From.Name] = state
	}
	l.table.With(held, func(rows map[ctid.Control]*link) {
		for name, k := range rows {
			state := states[name]
			state.Process, state.StreamOpen, state.LastError = name, k.open, k.lastError
			state.Received, state.Discarded = k.received, k.discarded
			if k.received != "" {
				state.ReceivedBefore = now.Sub(k.receivedAt).Seconds()
			}
			states[name] = state
		}
	})
	return slices.SortedFunc(maps.Values(states), func(a, b LinkState) int {
		return strings.Compare(string(a.Process), string(b.Process))
	})
}

// senders returns the processes from which messages have come.
func (l *links) senders(held *ctlock.Held) []ctid.Control {
	var names []ctid.Control
	l.table.With(held, func(rows map[ctid.Control]*link) {
		for name, k := range rows {
			if k.received != "" {
				names = append(names, name)
			}
		}
	})
	return names
}

// messageName returns the name of a message in logs.
func messageName(message ctquorum.Message) string {
	switch message.(type) {
	case ctquorum.VoteRequest:
		return "vote_request"
	case ctquorum.VoteReply:
		return "vote_reply"
	case ctquorum.AppendRequest:
		return "append_request"
	case ctquorum.AppendReply:
		return "append_reply"
	case ctquorum.InstallSnapshot:
		return "install_snapshot"
	case ctquorum.JoinRequest:
		return "join_request"
	case ctquorum.JoinReply:
		return "join_reply"
	}
	return "unknown"
}
