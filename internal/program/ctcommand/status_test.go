package ctcommand_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The answers of a follower and of a leader that has lost two voters.
const (
	followerStatus = `{"control":"b","leader":"a","voters":[{"name":"b","incarnation":7}],"revision":3,
		"quorum":{"state":"follows","votes":true}}`
	leaderStatus = `{"control":"a","leader":"a","authority":true,"revision":4,"quorum":{"state":"leads","votes":true,
		"lost":2,"stopping_losses":1,"margin":"2 of 5 voters lost, one more loss stops control",
		"voters":[{"name":"c","incarnation":1,"silent":"4s","behind":12,"lost":"silent"}],
		"learners":[{"name":"f","incarnation":9,"silent":"20ms","behind":0}]}}`
	joiningStatus = `{"control":"d","quorum":{"state":"joins","joining_for":"8s","processes":[
		{"process":"a","asked":true,"stream_open":false,"last_error":"connection refused"},
		{"process":"b","asked":true,"stream_open":true,"answer":"not_leading","answer_leader":"c"},
		{"process":"e","asked":false,"stream_open":false,"received":"append_request"}]}}`
)

// runStatus runs the command status at processes with the given answers.
func runStatus(t *testing.T, answers ...string) result {
	t.Helper()
	var addresses []string
	for _, answer := range answers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer))
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	return run(nil, "status", "--control-http", strings.Join(addresses, ","))
}

// assertPrints checks success and that the output contains the texts.
func assertPrints(t *testing.T, r result, texts ...string) {
	t.Helper()
	assert.Equal(t, r.code, 0, r.err)
	for _, text := range texts {
		assert.Assert(t, strings.Contains(r.out, text), "%s lacks %s", r.out, text)
	}
}

// TestStatusOfVoters guards against lost voters that an operator doesn't see, because a process
// answered that doesn't know of them.
func TestStatusOfVoters(t *testing.T) {
	t.Run("the leader's answer is shown with the lost voters", func(t *testing.T) {
		assertPrints(t, runStatus(t, followerStatus, leaderStatus), "a answers, a leads",
			"2 of 5 voters lost, one more loss stops control",
			"voter c (disk 1): 12 entries behind, silent for 4s, lost: silent",
			"learner f (disk 9): 0 entries behind, silent for 20ms", "revision 4")
	})
	t.Run("a follower's answer is shown if no leader answers", func(t *testing.T) {
		assertPrints(t, runStatus(t, followerStatus), "b answers, a leads", "voter b (disk 7)")
	})
	t.Run("a process that joins shows whom it asks", func(t *testing.T) {
		assertPrints(t, runStatus(t, joiningStatus), "d answers, it knows no leader", "d has heard no leader for 8s",
			`a: no stream (connection refused)`, `b: answered not_leading, follows c`,
			`e: not asked to join; its last message is append_request`)
	})
}
