package invariants

// session is the state that belongs to one value of Event.Session. Clients and room servers use different values for
// the same session: the events of room servers set server and epoch, those of a client set acknowledged and lost.
type session struct {
	// server is the room server at which the session is attached; empty if it is detached.
	server string
	// epoch is the highest epoch at which the session was attached.
	epoch uint64
	// acknowledged is the highest position of which the client has read an acknowledgement.
	acknowledged uint64
	// lost says that LostSessions counts the session already.
	lost bool
}

// session returns the state of a session, and creates it at the session's first event.
func (c *Checker) session(id string) *session {
	s := c.sessions[id]
	if s == nil {
		s = &session{}
		c.sessions[id] = s
	}
	return s
}

// addSessionEvent checks an event that concerns a session.
func (c *Checker) addSessionEvent(e Event) {
	s := c.session(e.Session)
	switch e.Kind {
	case SessionAttached:
		c.sessionAttached(s, e)
	case SessionDetached:
		if s.server == e.Server {
			s.server = ""
		}
	case PositionAcknowledged:
		s.acknowledged = max(s.acknowledged, e.Position)
	case SessionResumed:
		c.report.Resumed++
		if e.Position < s.acknowledged {
			c.sessionLost(s)
		}
	case SessionStartedOver:
		c.report.StartedOver++
	case SessionStranded:
		c.sessionLost(s)
	}
}

func (c *Checker) sessionAttached(s *session, e Event) {
	if s.server != "" || e.Epoch == s.epoch {
		c.report.DoubleAttachments++
	}
	if e.Epoch < s.epoch {
		c.report.EpochRegressions++
	}
	s.server = e.Server
	s.epoch = max(s.epoch, e.Epoch)
}

// sessionLost counts a lost session, each session at most once.
func (c *Checker) sessionLost(s *session) {
	if !s.lost {
		s.lost = true
		c.report.LostSessions++
	}
}
