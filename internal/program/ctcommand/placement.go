package ctcommand

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
)

// placementQuery holds the flags of the command explain placement.
type placementQuery struct {
	proxy     ctsettings.Address
	workspace string
	kind      string
	json      bool
}

func newExplainPlacement() *cobra.Command {
	var q placementQuery
	command := &cobra.Command{
		Use:   "placement DATABASE",
		Short: "Show which member would run a statement now, through which proxies and why",
		Long: "Show which member would run a statement of a database now, and what the asked proxy knows of each member.\n" +
			"The proxy decides as it does for a caller, and sends nothing to a member.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			placement, err := q.ask(command, arguments[0])
			if err != nil {
				return err
			}
			c := client{output: outputText}
			if q.json {
				c.output = outputJSON
			}
			return c.print(command, placement, func() { printPlacement(command, placement) })
		},
	}
	flags := command.Flags()
	flags.Var(ctsettings.TextValue(&q.proxy, "address"), "proxy", "address of a proxy's metrics")
	flags.StringVar(&q.workspace, "workspace", "", "name of the workspace; none for callers without a key")
	flags.StringVar(&q.kind, "kind", string(ctgateway.KindRead), "read, write or transaction")
	flags.BoolVar(&q.json, "json", false, "print JSON")
	return command
}

// ask asks the proxy for a placement.
func (q *placementQuery) ask(command *cobra.Command, database string) (*ctgateway.Placement, error) {
	if !q.proxy.IsValid() {
		return nil, cterror.New(cterror.Invalid, "--proxy is missing", "give the address of a proxy's metrics")
	}
	if err := ctgateway.StatementKind(q.kind).Check(); err != nil {
		return nil, err
	}
	parameters := url.Values{"database": {database}, "workspace": {q.workspace}, "kind": {q.kind}}
	address := "http://" + q.proxy.String() + ctgateway.PlacementPath + "?" + parameters.Encode()
	var placement ctgateway.Placement
	if err := callAddress(command.Context(), http.MethodGet, address, nil, &placement); err != nil {
		return nil, err
	}
	return &placement, nil
}

// printPlacement writes a placement as text, with a table of the members.
func printPlacement(command *cobra.Command, p *ctgateway.Placement) {
	switch {
	case p.ConfigOutdated:
		command.Printf("%s of %s: none, as proxy %s waits for the newest configuration\n", p.Kind, p.Database, p.Proxy)
	case p.Member == "":
		command.Printf("%s of %s: no member of group %s may run it now\n", p.Kind, p.Database, p.Group)
	default:
		command.Printf("%s of %s: member %s of group %s (%s), decided by proxy %s\n",
			p.Kind, p.Database, p.Member, p.Group, p.Why, p.Proxy)
	}
	if p.Limit != nil {
		command.Printf("workspace %s: limit %g operations a second, burst %g\n",
			p.Workspace, p.Limit.PerSecond, p.Limit.Burst)
	}
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	header := "MEMBER\tROLE\tCLASS\tWAIT\tANSWER AGE\tHINT\tHINT AGE\tRUNNING\tFREE\tSTANDING\tTHROUGH"
	_, _ = fmt.Fprintln(table, header)
	for _, m := range p.Members {
		_, _ = fmt.Fprintln(table, strings.Join(placementRow(m), "\t"))
	}
	_ = table.Flush()
}

// placementRow returns the cells of a member's row.
func placementRow(m ctgateway.PlacementMember) []string {
	role := "replica"
	if m.Primary {
		role = "primary"
	}
	if m.Excluded != "" {
		return []string{string(m.Member), role, "-", "-", "-", "-", "-", "-", "-", m.Excluded, "-"}
	}
	return []string{
		string(m.Member), role, m.Class, millisecondsText(m.WaitMS), millisecondsText(m.AnswerAgeMS),
		millisecondsText(m.HintMS), millisecondsText(m.HintAgeMS), strconv.Itoa(m.Running), strconv.Itoa(m.Free),
		standingText(m), pathText(m.Through),
	}
}

// millisecondsText returns a time as text, and a dash if it is below 0.
func millisecondsText(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return strconv.FormatInt(ms, 10) + " ms"
}

// standingText returns why a member comes last, or its standing.
func standingText(m ctgateway.PlacementMember) string {
	if m.AvoidedMS > 0 {
		return m.Standing + ", avoided for " + millisecondsText(m.AvoidedMS)
	}
	return m.Standing
}

func pathText(path []ctid.Proxy) string {
	names := make([]string, len(path))
	for i, name := range path {
		names[i] = string(name)
	}
	return strings.Join(names, ",")
}
