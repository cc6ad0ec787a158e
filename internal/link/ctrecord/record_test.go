package ctrecord_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// commands returns a Configure and a SetGroup command.
func commands() []ctregister.Command {
	at := time.Unix(1_000_000, 5).UTC()
	return []ctregister.Command{
		ctregister.Configure{At: at, Change: ctconfig.Change{
			ID: "ana", Author: "lab",
			Document: ctconfig.Document{Groups: []ctconfig.Group{{Name: "g", Size: 3}}},
		}},
		ctregister.SetGroup{At: at, Reason: "primary_down", Group: ctview.Group{Name: "g", Primary: "m", Term: 2}},
	}
}

func TestCommands(t *testing.T) {
	for _, command := range commands() {
		data, err := ctrecord.EncodeCommand(command)
		assert.NilError(t, err)
		t.Run("are the same after decoding", func(t *testing.T) {
			decoded, err := ctrecord.DecodeCommand(data)
			assert.NilError(t, err)
			assert.DeepEqual(t, decoded, command)
		})
		t.Run("are rejected if they are truncated", func(t *testing.T) {
			_, err := ctrecord.DecodeCommand(data[:len(data)/2])
			assert.Assert(t, err != nil)
		})
	}
}

// TestOddMember checks that a member whose announcement can't be used does not make the
// log unreadable.
func TestOddMember(t *testing.T) {
	good := ctserver.Announcement{
		Group: "g", Member: "m", FailureDomain: "d", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
		Role: ctserver.RoleReplica, State: ctserver.StateReady, Term: 1, Slots: 2, Connections: 4,
	}
	odd := good
	odd.Member, odd.Slots, odd.Connections = "odd", math.MaxInt, math.MaxInt
	data, err := ctrecord.EncodeCommand(ctregister.SetMembers{Members: []ctserver.Announcement{odd, good}})
	assert.NilError(t, err)
	command, err := ctrecord.DecodeCommand(data)
	assert.NilError(t, err)
	set, ok := command.(ctregister.SetMembers)
	assert.Assert(t, ok)
	assert.Equal(t, len(set.Members), 1)
	assert.Equal(t, set.Members[0], good)
}

// TestLostLogsOfEarlierVersions guards against lost logs that a command of a version without them
// erases: whether they are given at all has to survive the encoding.
func TestLostLogsOfEarlierVersions(t *testing.T) {
	for _, lost := range [][]ctview.LostLogs{nil, {}, {{Group: "g", Term: 2, Uncovered: []ctview.LostLog{{
		Member: "m", At: time.Unix(1_000_000, 0).UTC(), Gone: true,
	}}}}} {
		data, err := ctrecord.EncodeCommand(ctregister.SetMembers{Lost: lost})
		assert.NilError(t, err)
		command, err := ctrecord.DecodeCommand(data)
		assert.NilError(t, err)
		set, ok := command.(ctregister.SetMembers)
		assert.Assert(t, ok)
		assert.DeepEqual(t, set.Lost, lost)
	}
	t.Run("a command without the field has none", func(t *testing.T) {
		command, err := ctrecord.DecodeCommand(append([]byte{4}, []byte("\xa1gmembers\x80")...))
		assert.NilError(t, err)
		set, ok := command.(ctregister.SetMembers)
		assert.Assert(t, ok)
		assert.Assert(t, set.Lost == nil)
	})
}

func FuzzDecodeCommand(f *testing.F) {
	for _, command := range commands() {
		data, err := ctrecord.EncodeCommand(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := ctrecord.DecodeCommand(data)
		if err != nil {
			return
		}
		_, err = ctrecord.EncodeCommand(command)
		assert.NilError(t, err)
	})
}

// TestEmptyNames checks that records with empty names can be decoded. Decoding rejects
// invalid names, and an empty name is not valid, so records must leave it out.
func TestEmptyNames(t *testing.T) {
	t.Run("are accepted in a vote for nobody", func(t *testing.T) {
		data, err := ctrecord.Encode(ctrecord.Vote{Epoch: 1})
		assert.NilError(t, err)
		vote, err := ctrecord.Decode[ctrecord.Vote](data)
		assert.NilError(t, err)
		assert.Equal(t, vote, ctrecord.Vote{Epoch: 1})
	})
	t.Run("are accepted in a group without a primary", func(t *testing.T) {
		command := ctregister.SetGroup{Group: ctview.Group{Name: "g", Fence: 2}, At: time.Unix(1, 0).UTC()}
		data, err := ctrecord.EncodeCommand(command)
		assert.NilError(t, err)
		decoded, err := ctrecord.DecodeCommand(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, command)
	})
}
