package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// packed makes the frame of a reply. A heavy configuration is compressed, once for
// all the proxies that are sent it.
func (s *Service) packed(reply *ctview.Reply) *ctframe.Reply {
	frame := &ctframe.Reply{Reply: *reply}
	if reply.Delta == nil || !reply.Delta.Heavy() {
		return frame
	}
	delta := *reply.Delta
	data, err := s.pack(&delta)
	if err != nil {
		s.Logger.Error().Str("event", "pack_failed").Str("error", err.Error()).Send()
		return frame
	}
	delta.Config, delta.ConfigPatch = nil, nil
	frame.Delta, frame.Packed = &delta, data
	return frame
}

// pack returns the compressed configuration of a delta.
func (s *Service) pack(delta *ctview.Delta) ([]byte, error) {
	var key packKey
	if delta.ConfigPatch != nil {
		key = packKey{from: delta.ConfigPatch.Base, to: delta.ConfigPatch.Revision}
	} else {
		key = packKey{to: delta.Config.Revision}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if data, ok := s.packs[key]; ok {
		return data, nil
	}
	data, err := ctframe.Pack(ctframe.Packed{Config: delta.Config, Patch: delta.ConfigPatch})
	if err != nil {
		return nil, err
	}
	if len(s.packs) >= maxPacks {
		clear(s.packs)
	}
	s.packs[key] = data
	return data, nil
}

// packKey names a compressed configuration: the whole of a revision, or what leads
// to it from another one.
type packKey struct {
	from, to ctid.Revision
}

// maxPacks is how many compressed configurations are kept.
const maxPacks = 16
