package decide

import "time"

// maxClientRecords bounds the number of clients that are remembered.
const maxClientRecords = 1024

// clientRecord is where a client's latest connection was.
type clientRecord struct {
	server  ServerID
	endedAt time.Duration
	avoid   bool // the connection broke there, or was migrated off for the server's overload
}

// clientMemory remembers clients whose connection broke or was withdrawn, by key, for recordRetention.
type clientMemory struct {
	records map[string]clientRecord
	order   []string // keys in order of their first record
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

// expire drops the records that are too old.
func (m *clientMemory) expire(now time.Duration) {
	for len(m.order) > 0 && now-m.records[m.order[0]].endedAt > recordRetention {
		m.dropOldest()
	}
}

// connectionEnded learns from the end of an established connection. The client is kept off a server that it lost or
// was migrated off; one whose connection was withdrawn, as its packets come to another balancer now, is found again.
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
