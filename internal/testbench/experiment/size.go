package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// comeEach is how many sessions come a second.
const comeEach = 100.0

// Size is the cost of a fleet of one size.
type Size struct {
	Balancers int  `json:"balancers"`
	Rooms     int  `json:"rooms"`
	Sessions  int  `json:"sessions"`
	Refused   int  `json:"refused"`
	Cost      Cost `json:"cost"`
	Sound     bool `json:"sound"`
}

// Sizes plays a fleet of each number of balancers before each number of room servers, with so many sessions at each
// room server, for so many seconds once all have come.
func Sizes(ctx context.Context, program string, balancers, rooms []int, sessions int, seconds float64, say func(string)) (all []Size, err error) {
	for _, n := range balancers {
		for _, m := range rooms {
			fill := float64(m*sessions) / comeEach
			e, err := Parse(fmt.Appendf(nil, `{"name":"size","balancers":%d,"rooms":%d,"sessions":%d,"fill_s":%g,"every_ms":2000,
"tokens":false,"capacity":%d,"seconds":%g}`, n, m, m*sessions, fill, 4*sessions, fill+settle.Seconds()+seconds))
			if err != nil {
				return nil, err
			}
			say(fmt.Sprintf("%d balancers, %d room servers", n, m))
			r, err := Run(ctx, program, e, func(string) {})
			if err != nil {
				return nil, fmt.Errorf("%d balancers, %d room servers: %w", n, m, err)
			}
			all = append(all, Size{n, m, e.Sessions, r.Refused, r.Cost, r.Sound()})
		}
	}
	return all, nil
}

// SizeTable writes sizes for people.
func SizeTable(out io.Writer, all []Size) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "balancers\troom servers\tsessions\tMB\tdescriptors\tCPU ms/s\tprobes/s\tnew/s\topen\topen, most\tdiscovery calls/s\t")
	for _, s := range all {
		c := s.Cost
		fmt.Fprintf(w, "%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.2f\t%.2f\t%.1f\t%d\t%.2f\t\n", s.Balancers, s.Rooms, s.Sessions, c.RSS, c.Descriptors,
			c.CPU, c.Probes, c.Accepted, c.Open, c.OpenMost, c.Calls)
	}
	return w.Flush()
}
