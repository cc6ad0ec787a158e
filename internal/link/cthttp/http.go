package cthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// maxBodyBytes limits the size of the body of a request or response.
const maxBodyBytes = 8 << 20

// ErrorBody is the JSON body of an error response. Kind is the text form of a
// cterror.Kind.
type ErrorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// ReadJSON decodes the JSON body of a request into value, which is a pointer. Errors are
// of kind cterror.Invalid. An unknown field is an error too: it may be a misspelled one. So
// is anything but blanks behind the JSON value, or a body that is cut short there.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		err = readEnd(decoder)
	}
	if err != nil {
		return cterror.Wrap(cterror.Invalid, err, "read the body", "send one JSON object with the documented fields")
	}
	return nil
}

// readEnd returns an error unless the decoder's input ends.
func readEnd(decoder *json.Decoder) error {
	switch _, err := decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return errors.New("more follows the JSON value")
}

// WriteJSON sends a response with the status code and the value as a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError sends an error response. If err does not wrap a cterror.Error, the kind is
// internal and the remedy is empty.
func WriteError(w http.ResponseWriter, err error) {
	body := ErrorBody{Kind: cterror.KindOf(err).String(), Message: err.Error()}
	var typed *cterror.Error
	if errors.As(err, &typed) {
		body.Message, body.Remedy = typed.Message, typed.Remedy
	}
	WriteJSON(w, statusCodeOf(cterror.KindOf(err)), body)
}

func statusCodeOf(kind cterror.Kind) int {
	switch kind {
	case cterror.Invalid:
		return http.StatusBadRequest
	case cterror.Conflict:
		return http.StatusConflict
	case cterror.Denied:
		return http.StatusForbidden
	case cterror.Exhausted, cterror.RateLimited:
		return http.StatusTooManyRequests
	case cterror.Unavailable, cterror.Expired:
		return http.StatusServiceUnavailable
	case cterror.Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// parseKind returns the kind with the given text form, or Internal if there is none.
func parseKind(name string) cterror.Kind {
	for k := cterror.Internal; k <= cterror.RateLimited; k++ {
		if k.String() == name {
			return k
		}
	}
	return cterror.Internal
}

// Call sends a request with body as JSON, or without a body if body is nil. It decodes the
// JSON of the response into answer, which is a pointer, or nil to ignore the response. An
// error response is returned as a cterror.Error. If the server can't be reached, the error
// is of kind cterror.Unavailable.
func Call(ctx context.Context, client *http.Client, method, url string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode the request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return errors.Wrap(err, "prepare the request")
	}
	response, err := client.Do(request)
	if err != nil {
		return cterror.Wrap(cterror.Unavailable, err, "call "+url, "check the address and that the process runs")
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes))
	if response.StatusCode >= http.StatusBadRequest {
		var errorBody ErrorBody
		if err := decoder.Decode(&errorBody); err != nil {
			return cterror.Newf(cterror.Unavailable, "check the address", "%s answered %s", url, response.Status)
		}
		return cterror.New(parseKind(errorBody.Kind), errorBody.Message, errorBody.Remedy)
	}
	if answer == nil || response.StatusCode == http.StatusNoContent {
		return nil
	}
	return errors.Wrap(decoder.Decode(answer), "decode the answer")
}
