package decide

import "time"

// maxClientRecords is the maximum number of client records.
const maxClientRecords = 1024

// clientRecord says at which server a client's latest broken or cancelled connection was, and how it ended.
type clientRecord struct {
	server  ServerID
	endedAt time.Duration
	avoid   bool // the connection broke or was migrated off this server, so the client avoids it
}

// clientMemory holds the records of clients whose connections broke or were cancelled, by client key. A record expires
// at the age of recordRetention, or later if records before it in the order are younger.
type clientMemory struct {
	records map[string]clientRecord
	order   []string // keys in the order in which they were added
}

func (m *clientMemory) add(key string, record clientRecord) {
	if _, known := m.records[key]; !known {
		m.order = append(m.order, key)
		if len(m.order) > maxClientRecords {
			m.dropOldest()
		}
	}
	m.records[key] = record
}

func (m *clientMemory) dropOldest() {
	delete(m.records, m.order[0])
	m.order = m.order[1:]
}

// expire drops records older than recordRetention, in the order in which their keys were added.
func (m *clientMemory) expire(now time.Duration) {
	for len(m.order) > 0 && now-m.records[m.order[0]].endedAt > recordRetention {
		m.dropOldest()
	}
}

// connectionEnded updates the estimates at the end of an established connection. If the connection ended with Reset or
// Cancelled, its client is recorded. If the connection broke or was migrated, the recorded client avoids the server
// when it reconnects. Otherwise the client gets the same server if its next request is MidFlow: its packets arrived at
// another balancer for a while and now arrive here again.
func (b *Balancer) connectionEnded(r *request, code Code) {
	avoid := code == Reset || r.migrated
	if avoid {
		b.demand.recordReset()
	} else {
		b.lifetime.ended++
	}
	if r.Key == "" || code != Reset && code != Cancelled {
		return
	}
	b.clients.add(r.Key, clientRecord{r.server.ID, b.now, avoid})
}
