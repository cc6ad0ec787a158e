package ctlabcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// sessionTime bounds one statement of a session.
const sessionTime = 10 * time.Second

// session holds the flags of the session command.
type session struct {
	address string
	group   string
	caller  string
	token   string
	maxAge  string
	wait    time.Duration
}

func newSession() *cobra.Command {
	var s session
	command := &cobra.Command{
		Use:   "session STATEMENT...",
		Short: "Run statements in one session and print what comes back",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, statements []string) error {
			return s.run(command, statements)
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.address, "address", "", "address of a proxy")
	flags.StringVar(&s.group, "group", "", "database group")
	flags.StringVar(&s.caller, "caller", "lab", "name of the caller")
	flags.StringVar(&s.token, "token", "", "session token of an earlier session")
	flags.StringVar(&s.maxAge, "max-age", "", "age that reads accept")
	flags.DurationVar(&s.wait, "wait", 0, "how long to wait for a first session")
	return command
}

func (s *session) run(command *cobra.Command, statements []string) error {
	connection, err := s.connect(command.Context())
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(context.Background()) }()
	for _, statement := range statements {
		s.runOne(command, connection, statement)
	}
	command.Printf("token: %s\n", connection.ParameterStatus("cherviltrestle.token"))
	return nil
}

// connect connects, again and again where the session may wait.
func (s *session) connect(ctx context.Context) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://" + s.caller + "@" + s.address + "/" + s.group + "?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "read the address")
	}
	if s.token != "" {
		config.RuntimeParams["cherviltrestle.token"] = s.token
	}
	if s.maxAge != "" {
		config.RuntimeParams["cherviltrestle.max_age"] = s.maxAge
	}
	until := time.Now().Add(s.wait)
	for {
		connection, err := pgconn.ConnectConfig(ctx, config)
		if err == nil || time.Now().After(until) {
			return connection, errors.Wrap(err, "connect")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *session) runOne(command *cobra.Command, connection *pgconn.PgConn, statement string) {
	ctx, cancel := context.WithTimeout(command.Context(), sessionTime)
	defer cancel()
	command.Printf("> %s\n", statement)
	results, err := connection.Exec(ctx, statement).ReadAll()
	for _, r := range results {
		for _, row := range r.Rows {
			command.Printf("  %s\n", showRow(row))
		}
		command.Printf("  %s\n", r.CommandTag)
	}
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		command.Printf("  %s %s: %s (%s)\n", failure.Severity, failure.Code, failure.Message, failure.Detail)
	} else if err != nil {
		command.Printf("  error: %v\n", err)
	}
}

func showRow(row [][]byte) string {
	columns := make([]string, len(row))
	for i, c := range row {
		columns[i] = fmt.Sprintf("%q", c)
	}
	return strings.Join(columns, " ")
}
