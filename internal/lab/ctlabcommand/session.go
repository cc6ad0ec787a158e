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

// statementTimeout bounds the run of one statement.
const statementTimeout = 10 * time.Second

// sessionFlags holds the flags of the session command.
type sessionFlags struct {
	address        string
	group          string
	caller         string
	token          string
	maxAge         string
	connectTimeout time.Duration
}

// newSession returns the command that runs statements in one session.
func newSession() *cobra.Command {
	var s sessionFlags
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
	flags.StringVar(&s.maxAge, "max-age", "", "maximum age of the data that reads accept")
	flags.DurationVar(&s.connectTimeout, "wait", 0, "how long to retry until a session opens")
	return command
}

// run opens the session, runs the statements and prints the session token. A statement
// that fails is printed and doesn't end the session.
func (s *sessionFlags) run(command *cobra.Command, statements []string) error {
	connection, err := s.connect(command.Context())
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(context.Background()) }()
	for _, statement := range statements {
		s.runStatement(command, connection, statement)
	}
	command.Printf("token: %s\n", connection.ParameterStatus("cherviltrestle.token"))
	return nil
}

// connect opens the session. It retries after errors until connectTimeout has passed.
func (s *sessionFlags) connect(ctx context.Context) (*pgconn.PgConn, error) {
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
	deadline := time.Now().Add(s.connectTimeout)
	for {
		connection, err := pgconn.ConnectConfig(ctx, config)
		if err == nil || time.Now().After(deadline) {
			return connection, errors.Wrap(err, "connect")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// runStatement runs one statement and prints its rows or its error.
func (s *sessionFlags) runStatement(command *cobra.Command, connection *pgconn.PgConn, statement string) {
	ctx, cancel := context.WithTimeout(command.Context(), statementTimeout)
	defer cancel()
	command.Printf("> %s\n", statement)
	results, err := connection.Exec(ctx, statement).ReadAll()
	for _, r := range results {
		for _, row := range r.Rows {
			command.Printf("  %s\n", formatRow(row))
		}
		command.Printf("  %s\n", r.CommandTag)
	}
	var serverError *pgconn.PgError
	if errors.As(err, &serverError) {
		command.Printf("  %s %s: %s (%s)\n", serverError.Severity, serverError.Code, serverError.Message, serverError.Detail)
	} else if err != nil {
		command.Printf("  error: %v\n", err)
	}
}

// formatRow returns the quoted columns of a row, separated by spaces.
func formatRow(row [][]byte) string {
	columns := make([]string, len(row))
	for i, c := range row {
		columns[i] = fmt.Sprintf("%q", c)
	}
	return strings.Join(columns, " ")
}
