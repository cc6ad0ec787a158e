package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// packed makes the frame of a reply. A heavy delta is compressed, once for all the
// proxies that are sent it.
func (s *Service) packed(reply *ctview.Reply) *ctframe.Reply {
	frame := &ctframe.Reply{Reply: *reply}
	if reply.Delta == nil || !reply.Delta.Heavy() {
		return frame
	}
	data, err := s.pack(reply.Delta)
	if err != nil {
		s.Logger.Error().Str("event", "pack_failed").Str("error", err.Error()).Send()
		return frame
	}
	frame.Delta, frame.Packed = nil, data
	return frame
}

// pack returns a delta in compressed form.
func (s *Service) pack(delta *ctview.Delta) ([]byte, error) {
	key := packKey{from: delta.From, to: delta.To}
	if delta.ConfigPatch != nil {
		key.base = delta.ConfigPatch.Base
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if data, ok := s.packs[key]; ok {
		return data, nil
	}
	data, err := ctframe.Pack(delta)
	if err != nil {
		return nil, err
	}
	if len(s.packs) >= maxPacks {
		clear(s.packs)
	}
	s.packs[key] = data
	return data, nil
}

// packKey names a compressed delta: the versions that it leads from and to, and the
// revision of the configuration that it patches.
type packKey struct {
	from, to ctview.Version
	base     ctid.Revision
}

// maxPacks is how many compressed deltas are kept.
const maxPacks = 16
