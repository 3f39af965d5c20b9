package membership

// Event is an input of the state machine.
type Event interface{ event() }

type (
	// MemberAlive reports that a member was discovered, that it is alive after a reported failure or a planned stop, or
	// that its description changed.
	MemberAlive struct{ Member Member }

	// FailureReported reports that the failure detector considers a member failed.
	FailureReported struct {
		// Name is the member's name.
		Name string
		// Incarnation is the member's incarnation at the time of the report.
		Incarnation uint64
	}

	// MemberLeft reports that a member announced a planned stop.
	MemberLeft struct {
		// Name is the member's name.
		Name string
		// Incarnation is the incarnation of the process that stops.
		Incarnation uint64
	}

	// ProbeSucceeded reports that a member answered a probe that this instance sent.
	ProbeSucceeded struct{ Name string }

	// ProbeFailed reports that a probe that this instance sent to a member was not answered in time.
	ProbeFailed struct{ Name string }

	// Tick makes the state machine evaluate its timeouts. The caller sends one every TickInterval.
	Tick struct{}
)

func (MemberAlive) event()     {}
func (FailureReported) event() {}
func (MemberLeft) event()      {}
func (ProbeSucceeded) event()  {}
func (ProbeFailed) event()     {}
func (Tick) event()            {}
