package ctstream

import (
	"context"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// Talk is a two-way stream of frames.
type Talk interface {
	Write(frame ctframe.Frame) error
	Read() (ctframe.Frame, error)
	Close()
}

// Ask writes a frame and returns the answer. When ctx ends first it closes the
// stream, so that no late answer is taken for that of a later question.
func Ask(ctx context.Context, talk Talk, frame ctframe.Frame) (ctframe.Frame, error) {
	stop := context.AfterFunc(ctx, talk.Close)
	defer stop()
	if err := talk.Write(frame); err != nil {
		return nil, err
	}
	return talk.Read()
}
