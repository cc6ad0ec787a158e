package ctrecord

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// The kinds of commands. The numbers are part of the format and are never reused.
const (
	kindConfigure byte = iota + 1
	kindSetGroup
	kindPublish
	kindSetMembers
	kindSettlePromotions
	kindReleaseRequester
	kindSetQuotaMarks
)

// EncodeCommand returns the encoding of a command.
func EncodeCommand(command ctregister.Command) ([]byte, error) {
	body, err := ctcbor.Marshal(command)
	if err != nil {
		return nil, errors.Wrap(err, "encode a command")
	}
	var kind byte
	switch command.(type) {
	case ctregister.Configure:
		kind = kindConfigure
	case ctregister.SetGroup:
		kind = kindSetGroup
	case ctregister.Publish:
		kind = kindPublish
	case ctregister.SetMembers:
		kind = kindSetMembers
	case ctregister.SettlePromotions:
		kind = kindSettlePromotions
	case ctregister.ReleaseRequester:
		kind = kindReleaseRequester
	case ctregister.SetQuotaMarks:
		kind = kindSetQuotaMarks
	}
	return append([]byte{kind}, body...), nil
}

// DecodeCommand decodes a command and checks it, unless it is of type Publish. Errors are
// of kind cterror.Invalid.
func DecodeCommand(data []byte) (ctregister.Command, error) {
	if len(data) == 0 {
		return nil, damagedError(nil)
	}
	switch data[0] {
	case kindConfigure:
		var c ctregister.Configure
		if err := ctcbor.Unmarshal(data[1:], &c); err != nil {
			return nil, damagedError(err)
		}
		return c, c.Change.Check()
	case kindSetGroup:
		var c ctregister.SetGroup
		if err := ctcbor.Unmarshal(data[1:], &c); err != nil {
			return nil, damagedError(err)
		}
		return c, c.Group.Check()
	case kindPublish:
		var c ctregister.Publish
		if err := ctcbor.Unmarshal(data[1:], &c); err != nil {
			return nil, damagedError(err)
		}
		return c, nil
	case kindSetMembers:
		return decodeSetMembers(data[1:])
	case kindSetQuotaMarks:
		return decodeSetQuotaMarks(data[1:])
	case kindSettlePromotions:
		var c ctregister.SettlePromotions
		if err := ctcbor.Unmarshal(data[1:], &c); err != nil {
			return nil, damagedError(err)
		}
		return c, c.Group.Check()
	case kindReleaseRequester:
		var c ctregister.ReleaseRequester
		if err := ctcbor.Unmarshal(data[1:], &c); err != nil {
			return nil, damagedError(err)
		}
		return c, c.Group.Check()
	}
	return nil, cterror.Newf(cterror.Invalid, "upgrade this process", "command kind %d is unknown", data[0])
}

// decodeSetQuotaMarks decodes a SetQuotaMarks command.
func decodeSetQuotaMarks(data []byte) (ctregister.Command, error) {
	var c ctregister.SetQuotaMarks
	if err := ctcbor.Unmarshal(data, &c); err != nil {
		return nil, damagedError(err)
	}
	for workspace, mark := range c.Marks {
		if mark < 0 {
			return nil, cterror.Newf(cterror.Invalid, "give a number from 0", "workspace %q has mark %d", workspace, mark)
		}
	}
	return c, nil
}

// decodeSetMembers decodes a SetMembers command without the members whose announcement is
// invalid. An error would end every control process that replays the log, again and again.
func decodeSetMembers(data []byte) (ctregister.Command, error) {
	var c ctregister.SetMembers
	if err := ctcbor.Unmarshal(data, &c); err != nil {
		return nil, damagedError(err)
	}
	invalid := func(m ctserver.Announcement) bool { return m.Check() != nil }
	c.Members, c.Silent = slices.DeleteFunc(c.Members, invalid), slices.DeleteFunc(c.Silent, invalid)
	return c, nil
}

// EncodeRegister returns the encoding of a snapshot of the register.
func EncodeRegister(register *ctregister.Register) ([]byte, error) {
	data, err := ctcbor.Marshal(register)
	return data, errors.Wrap(err, "encode a snapshot")
}

// DecodeRegister decodes a snapshot of the register. The error is of kind
// cterror.Invalid if the data is damaged.
func DecodeRegister(data []byte) (*ctregister.Register, error) {
	var register ctregister.Register
	if err := ctcbor.Unmarshal(data, &register); err != nil {
		return nil, damagedError(err)
	}
	return &register, nil
}

// damagedError returns the error for a record that can't be decoded. err is the cause, or
// nil if the record is empty.
func damagedError(err error) error {
	const remedy = "remove the data folder of this process; it then catches up from the others"
	if err == nil {
		return cterror.New(cterror.Invalid, "a record is empty", remedy)
	}
	return cterror.Wrap(cterror.Invalid, err, "decode a record", remedy)
}
