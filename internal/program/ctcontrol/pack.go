package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// replyFrame makes the frame of a reply. A heavy delta is compressed, once for all the
// proxies that are sent it. Its configuration is compressed by itself: members and
// proxies come and go far more often.
func (s *Service) replyFrame(reply *ctview.Reply) *ctframe.ReportReply {
	frame := &ctframe.ReportReply{Reply: *reply}
	if reply.Delta == nil || !reply.Delta.Large() {
		return frame
	}
	rest := *reply.Delta
	rest.Config, rest.ConfigPatch = nil, nil
	compressed, err := s.compress(compressionKey{from: rest.From, to: rest.To}, &rest)
	var config []byte
	if err == nil {
		config, err = s.compressConfig(reply.Delta)
	}
	if err != nil {
		s.Logger.Error().Str("event", "pack_failed").Str("error", err.Error()).Send()
		return frame
	}
	frame.Delta, frame.CompressedDelta, frame.CompressedConfig = nil, compressed, config
	return frame
}

// compressConfig returns the configuration of a delta in compressed form, or nil where
// it has none.
func (s *Service) compressConfig(delta *ctview.Delta) ([]byte, error) {
	var key compressionKey
	switch {
	case delta.ConfigPatch != nil:
		key = compressionKey{base: delta.ConfigPatch.Base, revision: delta.ConfigPatch.Revision}
	case delta.Config != nil:
		key = compressionKey{revision: delta.Config.Revision}
	default:
		return nil, nil
	}
	return s.compress(key, &ctview.Delta{Config: delta.Config, ConfigPatch: delta.ConfigPatch})
}

// compress returns a delta in compressed form.
func (s *Service) compress(key compressionKey, delta *ctview.Delta) ([]byte, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if data, ok := s.compressed[key]; ok {
		return data, nil
	}
	data, err := ctframe.CompressDelta(delta)
	if err != nil {
		return nil, err
	}
	if len(s.compressed) >= maxCompressed {
		s.evictCompressed()
	}
	s.compressed[key] = data
	return data, nil
}

// evictCompressed forgets what was packed but for configurations of the newest revision.
func (s *Service) evictCompressed() {
	var newest ctid.Revision
	for key := range s.compressed {
		newest = max(newest, key.revision)
	}
	for key := range s.compressed {
		if key.revision < newest || key.revision == 0 {
			delete(s.compressed, key)
		}
	}
}

// compressionKey names what is compressed: the part of a delta that leads from one version
// of the view to another, or a configuration and the revision that it patches.
type compressionKey struct {
	from, to       ctview.Version
	base, revision ctid.Revision
}

// maxCompressed is how many compressed parts are kept.
const maxCompressed = 16
