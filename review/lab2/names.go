package main

import (
	_ "embed"
	"encoding/json"
)

// names are the names of the users' pages that the project keeps out of its other Go files.
var names = func() (n struct {
	PromotionHolderHeader string `json:"promotion_holder_header"`
	PromotionTokenHeader  string `json:"promotion_token_header"`
	MembersPath           string `json:"members_path"`
	ConfigPath            string `json:"config_path"`
	MinPosition           string `json:"min_position"`
	WrongMember           string `json:"wrong_member"`
	UnknownStatement      string `json:"unknown_statement"`
},
) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}()

//go:embed names.json
var namesFile []byte
