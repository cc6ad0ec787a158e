package ctcontrol

import (
	"encoding/binary"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctstore"
)

// These are the keys in the store. The key of an entry is entryPrefix and the entry's index
// in 8 bytes, big-endian, so that Range visits the entries in order.
var (
	keySelf     = []byte("self")
	keyVote     = []byte("ballot")
	keySnapshot = []byte("snapshot")
	entryPrefix = []byte("entry/")
)

// storage is the key-value store that holds the durable state.
type storage interface {
	Get(key []byte) ([]byte, error)
	// Put returns once all writes are synced. After a failure it has applied none of
	// them.
	Put(writes ...ctstore.Write) error
	Range(prefix []byte, visit func(key, value []byte) error) error
	Close() error
}

// disk reads and writes the durable state of a control process. After load, only the
// replica's worker uses it.
type disk struct {
	store storage
	// firstIndex and lastIndex are the first and last log entries in the store.
	firstIndex ctquorum.Index
	lastIndex  ctquorum.Index
}

// Bootstrap initializes an empty disk for the first process of a new fleet, which becomes
// the only voter. It refuses a disk that is already initialized.
func Bootstrap(store *ctstore.Store, name ctid.Control, now time.Time) error {
	d := &disk{store: store}
	self, found, err := d.loadSelf()
	if err != nil {
		return err
	}
	if found {
		return cterror.Newf(cterror.Conflict, "start the process as it is; init is for the first process of a new fleet",
			"the disk belongs to %s already", self.Name)
	}
	self = ctquorum.Peer{Name: name, Incarnation: ctid.Incarnation(now.UnixNano())}
	if err := d.writeSelf(self); err != nil {
		return err
	}
	first := ctquorum.Bootstrap(self)
	return d.write(ctquorum.Persist{Epoch: first.Epoch, FirstIndex: 1, Entries: first.Entries})
}

// loadOrCreateSelf returns the identity of the process. On an empty disk it creates one
// with a new incarnation.
func (d *disk) loadOrCreateSelf(name ctid.Control, now time.Time) (ctquorum.Peer, error) {
	self, found, err := d.loadSelf()
	if err != nil || found {
		return self, err
	}
	self = ctquorum.Peer{Name: name, Incarnation: ctid.Incarnation(now.UnixNano())}
	return self, d.writeSelf(self)
}

// loadSelf returns the stored identity of the process, and false if the disk is empty.
func (d *disk) loadSelf() (ctquorum.Peer, bool, error) {
	data, err := d.store.Get(keySelf)
	if err != nil || data == nil {
		return ctquorum.Peer{}, false, err
	}
	self, err := ctrecord.Decode[ctquorum.Peer](data)
	return self, true, err
}

func (d *disk) writeSelf(self ctquorum.Peer) error {
	data, err := ctrecord.Encode(self)
	if err != nil {
		return err
	}
	return d.store.Put(ctstore.Write{Key: keySelf, Value: data})
}

// load reads the durable state. It must be called before write, except for the write
// that initializes an empty disk.
func (d *disk) load() (ctquorum.PersistentState, error) {
	var durable ctquorum.PersistentState
	if err := d.loadVoteAndSnapshot(&durable); err != nil {
		return durable, err
	}
	err := d.store.Range(entryPrefix, func(_, value []byte) error {
		entry, err := ctrecord.Decode[ctquorum.Entry](value)
		if err != nil {
			return err
		}
		durable.Entries = append(durable.Entries, entry)
		return nil
	})
	d.firstIndex = durable.Snapshot.Index + 1
	d.lastIndex = durable.Snapshot.Index + ctquorum.Index(len(durable.Entries))
	return durable, err
}

func (d *disk) loadVoteAndSnapshot(durable *ctquorum.PersistentState) error {
	data, err := d.store.Get(keyVote)
	if err != nil {
		return err
	}
	if data != nil {
		vote, err := ctrecord.Decode[ctrecord.Vote](data)
		if err != nil {
			return err
		}
		durable.Epoch, durable.VotedFor = vote.Epoch, vote.VotedFor
	}
	if data, err = d.store.Get(keySnapshot); err != nil || data == nil {
		return err
	}
	durable.Snapshot, err = ctrecord.Decode[ctquorum.Snapshot](data)
	return err
}

// write applies a Persist effect atomically and returns once it is synced.
func (d *disk) write(p ctquorum.Persist) error {
	data, err := ctrecord.Encode(ctrecord.Vote{Epoch: p.Epoch, VotedFor: p.VotedFor})
	if err != nil {
		return err
	}
	writes := []ctstore.Write{{Key: keyVote, Value: data}}
	first, last := d.firstIndex, d.lastIndex
	if p.FirstIndex > 0 {
		for i := p.FirstIndex; i <= last; i++ {
			writes = append(writes, ctstore.Write{Key: entryKey(i)})
		}
		last = p.FirstIndex - 1 + ctquorum.Index(len(p.Entries))
		for _, e := range p.Entries {
			if data, err = ctrecord.Encode(e); err != nil {
				return err
			}
			writes = append(writes, ctstore.Write{Key: entryKey(e.Index), Value: data})
		}
	}
	if p.Snapshot != nil {
		if data, err = ctrecord.Encode(*p.Snapshot); err != nil {
			return err
		}
		writes = append(writes, ctstore.Write{Key: keySnapshot, Value: data})
		for i := first; i <= min(last, p.Snapshot.Index); i++ {
			writes = append(writes, ctstore.Write{Key: entryKey(i)})
		}
		first, last = p.Snapshot.Index+1, max(last, p.Snapshot.Index)
	}
	if err := d.store.Put(writes...); err != nil {
		return err
	}
	d.firstIndex, d.lastIndex = first, last
	return nil
}

func entryKey(index ctquorum.Index) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), entryPrefix...), uint64(index))
}
