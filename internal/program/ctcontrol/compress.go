package ctcontrol

import (
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// replyFrame returns the frame of a reply. A large delta is compressed, and the result is
// cached for all proxies that are sent the same delta. The delta's configuration is
// compressed separately, because members and proxies change far more often.
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

// compressConfig returns the configuration of a delta, or its patch, in compressed form.
// It returns nil if the delta has neither.
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

// compress returns a delta in compressed form, from the cache if it is there.
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

// evictCompressed removes all cached entries except configurations and patches of the
// newest revision.
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

// compressionKey identifies a cached entry. For a delta without its configuration, from
// and to are set. For a whole configuration, revision is set. For a patch, base is the
// revision that it applies to and revision the one that results.
type compressionKey struct {
	from, to       ctview.Version
	base, revision ctid.Revision
}

// maxCompressed is how many compressed entries are cached.
const maxCompressed = 16
