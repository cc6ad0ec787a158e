package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// packed makes the frame of a reply. A heavy delta is compressed, once for all the
// proxies that are sent it. Its configuration is compressed by itself: members and
// proxies come and go far more often.
func (s *Service) packed(reply *ctview.Reply) *ctframe.ReportReply {
	frame := &ctframe.ReportReply{Reply: *reply}
	if reply.Delta == nil || !reply.Delta.Large() {
		return frame
	}
	rest := *reply.Delta
	rest.Config, rest.ConfigPatch = nil, nil
	packed, err := s.pack(packKey{from: rest.From, to: rest.To}, &rest)
	var config []byte
	if err == nil {
		config, err = s.packConfig(reply.Delta)
	}
	if err != nil {
		s.Logger.Error().Str("event", "pack_failed").Str("error", err.Error()).Send()
		return frame
	}
	frame.Delta, frame.CompressedDelta, frame.CompressedConfig = nil, packed, config
	return frame
}

// packConfig returns the configuration of a delta in compressed form, or nil where
// it has none.
func (s *Service) packConfig(delta *ctview.Delta) ([]byte, error) {
	var key packKey
	switch {
	case delta.ConfigPatch != nil:
		key = packKey{base: delta.ConfigPatch.Base, revision: delta.ConfigPatch.Revision}
	case delta.Config != nil:
		key = packKey{revision: delta.Config.Revision}
	default:
		return nil, nil
	}
	return s.pack(key, &ctview.Delta{Config: delta.Config, ConfigPatch: delta.ConfigPatch})
}

// pack returns a delta in compressed form.
func (s *Service) pack(key packKey, delta *ctview.Delta) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if data, ok := s.packs[key]; ok {
		return data, nil
	}
	data, err := ctframe.CompressDelta(delta)
	if err != nil {
		return nil, err
	}
	if len(s.packs) >= maxPacks {
		s.dropPacks()
	}
	s.packs[key] = data
	return data, nil
}

// dropPacks forgets what was packed but for configurations of the newest revision.
func (s *Service) dropPacks() {
	var newest ctid.Revision
	for key := range s.packs {
		newest = max(newest, key.revision)
	}
	for key := range s.packs {
		if key.revision < newest || key.revision == 0 {
			delete(s.packs, key)
		}
	}
}

// packKey names what is compressed: the part of a delta that leads from one version
// of the view to another, or a configuration and the revision that it patches.
type packKey struct {
	from, to       ctview.Version
	base, revision ctid.Revision
}

// maxPacks is how many compressed parts are kept.
const maxPacks = 16
