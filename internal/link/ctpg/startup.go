package ctpg

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// Names of the start-up parameters that a caller may send.
const (
	ParameterToken    = "cherviltrestle.token"
	ParameterMaxAge   = "cherviltrestle.max_age"
	ParameterReadOnly = "default_transaction_read_only"

	parameterUser            = "user"
	parameterDatabase        = "database"
	parameterClientEncoding  = "client_encoding"
	parameterApplicationName = "application_name"
)

// Startup contains the parameters that a caller sent at the start of its session.
type Startup struct {
	// Group is the database group, which the caller names as the database.
	Group ctid.Group
	// Caller is the name of the user.
	Caller ctid.Caller
	// Token is the session token, not yet checked. It is empty if there is none.
	Token string
	// ReadOnly reports that the caller declared that it won't write.
	ReadOnly bool
	// MaxAge is the greatest age of the data that the caller accepts for reads.
	MaxAge ctset.Option[time.Duration]
}

// parseStartup reads the start-up parameters. It refuses parameters that would have
// to be set on a backend connection, because the next transaction may run on another
// connection, where they would not be set.
func parseStartup(parameters map[string]string) (Startup, error) {
	var startup Startup
	for name, value := range parameters {
		if err := startup.set(name, value); err != nil {
			return startup, err
		}
	}
	if startup.Caller == "" {
		return startup, cterror.New(cterror.Invalid, "the start-up packet names no user", "name the user")
	}
	if startup.Group == "" {
		return startup, cterror.New(cterror.Invalid, "the start-up packet names no database",
			"name the database group as the database")
	}
	return startup, nil
}

// set reads one parameter. The application name has no effect.
func (s *Startup) set(name string, value string) error {
	switch name {
	case parameterUser:
		return s.Caller.UnmarshalText([]byte(value))
	case parameterDatabase:
		return s.Group.UnmarshalText([]byte(value))
	case ParameterToken:
		s.Token = value
		return nil
	case ParameterMaxAge:
		return s.setMaxAge(value)
	case ParameterReadOnly:
		return s.setReadOnly(value)
	case parameterApplicationName:
		return nil
	case parameterClientEncoding:
		return checkEncoding(value)
	}
	return cterror.Newf(cterror.Invalid, "leave it out, or set it in each transaction with SET LOCAL",
		"start-up parameter %q is not carried", name)
}

// setMaxAge reads an age such as 500ms. It must not be negative.
func (s *Startup) setMaxAge(value string) error {
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return cterror.Newf(cterror.Invalid, "write a number and a unit, such as 500ms or 2s",
			"%s %q can't be read", ParameterMaxAge, value)
	}
	s.MaxAge = ctset.Some(age)
	return nil
}

// setReadOnly reads a boolean in one of PostgreSQL's usual spellings.
func (s *Startup) setReadOnly(value string) error {
	switch value {
	case "on", "true", "yes", "1":
		s.ReadOnly = true
	case "off", "false", "no", "0":
		s.ReadOnly = false
	default:
		return cterror.Newf(cterror.Invalid, "use on or off", "%s %q can't be read", ParameterReadOnly, value)
	}
	return nil
}

// checkEncoding refuses encodings other than UTF-8.
func checkEncoding(value string) error {
	switch value {
	case "UTF8", "utf8", "UTF-8", "utf-8", "'utf-8'", "unicode":
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use UTF8", "client_encoding %q is not carried", value)
}
