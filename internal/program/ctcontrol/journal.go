package ctcontrol

import (
	"encoding/binary"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
)

// Journal makes commands durable and puts them into one order.
type Journal interface {
	// Append makes a command durable. The command counts once it returns.
	Append(command ctregister.Command) error
	// Replay calls apply for each durable command, in order.
	Replay(apply func(command ctregister.Command)) error
}

// LocalJournal is the journal of a single control process.
type LocalJournal struct {
	Store *ctstore.Store

	last uint64
}

// entryPrefix begins the keys of journal entries.
var entryPrefix = []byte("entry/")

// Append writes the command and syncs it.
func (j *LocalJournal) Append(command ctregister.Command) error {
	data, err := ctrecord.EncodeCommand(command)
	if err != nil {
		return err
	}
	key := binary.BigEndian.AppendUint64(append([]byte(nil), entryPrefix...), j.last+1)
	if err := j.Store.Put(ctstore.Write{Key: key, Value: data}); err != nil {
		return err
	}
	j.last++
	return nil
}

// Replay reads the commands that were written before.
func (j *LocalJournal) Replay(apply func(command ctregister.Command)) error {
	return j.Store.Range(entryPrefix, func(key, value []byte) error {
		command, err := ctrecord.DecodeCommand(value)
		if err != nil {
			return err
		}
		j.last = binary.BigEndian.Uint64(key[len(entryPrefix):])
		apply(command)
		return nil
	})
}
