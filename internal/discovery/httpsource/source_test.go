package httpsource

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

const testEntry = `{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:9000","zone":"a","machineType":"m2","cell":3,` +
	`"lifecycle":"active","weight":1.0,"startedAtMs":1700000000000}`

const testList = `{"generation":41,"reset":true,"instances":[` + testEntry + `]}`

// longList is a list of many entries, each of its own name and derived number.
func longList(n int) string {
	var b strings.Builder
	b.WriteString(`{"generation":41,"reset":true,"instances":[`)
	used := map[decide.ServerID]bool{}
	for i := 0; len(used) < n; i++ {
		name := fmt.Sprintf("s-%08x", i)
		if used[core.ServerID(name)] {
			continue
		}
		if used[core.ServerID(name)] = true; len(used) > 1 {
			b.WriteByte(',')
		}
		b.WriteString(strings.Replace(testEntry, "s-5be2a07c", name, 1))
	}
	return b.String() + "]}"
}

// A list of 20,000 room servers is taken, from the stream and from the configuration, and so are the changes after it. What an entry
// takes to read does not grow with the list.
func TestLongLists(t *testing.T) {
	whole := longList(20_000)
	r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, whole+"\n\n"+strings.Replace(strings.Replace(testList, "41", "42", 1), "true", "false", 1)+"\n"+whole+"\n")
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Watch(ctx, 1)
	s.expect(t, decide.ListSnapshot, 20_000)
	s.expect(t, decide.ListDelta, 1)
	s.expect(t, decide.ListSnapshot, 20_000)
	if l, err := DecodeListing([]byte(whole)); err != nil || len(l.Endpoints) != 20_000 {
		t.Errorf("%d entries, %v", len(l.Endpoints), err)
	}
	each := func(n int) (allocations, bytes float64) {
		raw := longList(n)
		return allocatedPer(func() {
			values := &boundedReader{source: strings.NewReader(raw), onEmptyLine: func() {}}
			in := json.NewDecoder(values)
			if _, err := decodeListing(in, func() { values.markConsumed(in.InputOffset()) }); err != nil {
				t.Fatal(err)
			}
		}, n)
	}
	few, small := each(600)
	for _, n := range []int{5000, 20_000} {
		// The slice and the table grow by doubling, so that what an entry takes of them differs by up to two times.
		if many, large := each(n); many > 1.1*few || large > 2*small {
			t.Errorf("an entry of %d takes %.2f allocations and %.0f bytes, of 600 %.2f and %.0f", n, many, large, few, small)
		}
	}
}

// allocatedPer is what do takes of the memory in all, divided by n.
func allocatedPer(do func(), n int) (allocations, bytes float64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(n), float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
}

// What is held of a list that is being read is an entry of it, and of empty lines nothing: they come for as long as a watch stands.
func TestBufferedBytesAreBounded(t *testing.T) {
	for name, v := range map[string]struct{ head, more string }{
		"empty lines": {"", "\r\n"}, "entries": {testList[:len(testList)-2], "," + testEntry}, "spaces": {testList[:len(testList)-2], " "},
	} {
		in := &endlessReader{text: v.head, repeated: v.more, remaining: 8 << 20}
		values := &boundedReader{source: in, atLineStart: true, onEmptyLine: func() {}}
		decoder := json.NewDecoder(values)
		largest := 0
		_, err := decodeListing(decoder, func() {
			if b, ok := decoder.Buffered().(*bytes.Reader); ok {
				largest = max(largest, b.Len())
			}
			values.markConsumed(decoder.InputOffset())
		})
		if left, _ := io.ReadAll(decoder.Buffered()); err == nil || largest > maxEntryBytes || len(left) > maxEntryBytes {
			t.Errorf("%s: %d bytes are held, and %d at the end, %v", name, largest, len(left), err)
		}
	}
}

// endlessReader is a text, then more of it up to so many bytes in all.
type endlessReader struct {
	text, repeated string
	remaining      int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	if e.remaining <= 0 {
		return 0, io.EOF
	}
	if len(e.text) < len(p) {
		e.text += strings.Repeat(e.repeated, len(p)/len(e.repeated)+1)
	}
	n := copy(p, e.text)
	e.text, e.remaining = e.text[n:], e.remaining-n
	return n, nil
}

// Whatever a list is, it is taken as encoding/json takes the whole of it, but for entries that are there twice.
func TestDecodeAgreesWithEncodingJSON(t *testing.T) {
	for _, raw := range []string{testList, `{"generation":0,"instances":null}`, `{"GENERATION":3,"Reset":true,"inSTances":[]}`, `null`, ``, ` `,
		`{"generation":1}`, `{"generation":null}`, `{"generation":1,"generation":2}`, `{"generation":1.5}`, `{"generation":1,"reset":1}`,
		`{"generation":1,"reset":null,"x":{"y":[{}]}}`, `{"generation":1,}`, `{"generation":1} {}`, `{"generation":1}x`, `[]`, `3`,
		`{"generation":1 "reset":true}`, `{"generation":1,"instances":[,]}`, `{"generation":1,"instances":{}}`, `{"generation":1,"instances":3}`,
		`{"generation":1,"instances":[}`, `{"generation":1,"instances":[null]}`, `{"generation":1,"instances":[[]]}`, `{3:1}`,
		`{"generation":1,"instances":[` + testEntry + `,]}`, `{"generation":1,"instances":[` + testEntry + testEntry + `]}`,
		`{"generation":1,"instances":[` + testEntry + `}`, `{"generation":1,"instances":[` + testEntry + `]`} {
		var want struct {
			Generation *int64
			Reset      bool
			Instances  []wireInstance
		}
		sound := json.Unmarshal([]byte(raw), &want) == nil && want.Generation != nil
		for _, w := range want.Instances {
			if _, err := w.endpoint(); err != nil {
				sound = false
			}
		}
		l, err := DecodeListing([]byte(raw))
		if sound != (err == nil) || sound && (l.Generation != *want.Generation || l.Reset != want.Reset ||
			len(l.Endpoints) != len(want.Instances)) {
			t.Errorf("%s: %+v, %v, want %v", raw, l, err, sound)
		}
	}
}

func TestDecode(t *testing.T) {
	l, err := DecodeListing([]byte(testList))
	if err != nil || l.Generation != 41 || !l.Reset || len(l.Endpoints) != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	in := l.Endpoints[0]
	if in.Name != "s-5be2a07c" || in.ID != core.ServerID(in.Name) || in.Zone != "a" || in.Cell != 3 ||
		in.State != decide.Ready || !in.Started.Equal(time.UnixMilli(1700000000000)) {
		t.Errorf("%+v", in)
	}
	for _, bad := range []struct{ old, new string }{
		{`"active"`, `"asleep"`}, {`"s-5be2a07c"`, `""`}, {`10.1.0.18:9000`, `nowhere`}, {`1.0`, `-1`},
		{`"generation":41,`, ``}, {`}]}`, `}]`}, {`"cell":3`, `"cell":"x"`},
	} {
		if l, err := DecodeListing([]byte(strings.Replace(testList, bad.old, bad.new, 1))); err == nil {
			t.Errorf("%s for %s: taken as %+v", bad.new, bad.old, l)
		}
	}
}

// updateRecorder keeps what comes.
type updateRecorder struct {
	results chan core.EndpointUpdate
	alive   chan uint64 // nil: nobody looks
}

func (s *updateRecorder) EndpointsUpdated(r core.EndpointUpdate) { s.results <- r }
func (s *updateRecorder) WatchAlive(watch uint64)                { s.alive <- watch }

func (s *updateRecorder) expect(t *testing.T, kind decide.ListKind, lines int) {
	t.Helper()
	select {
	case r := <-s.results:
		if r.Kind != kind || len(r.Endpoints) != lines {
			t.Fatalf("result %+v, want kind %d with %d lines", r, kind, lines)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no result")
	}
}

// startSource is a stand-in whose answers a test gives.
func startSource(t *testing.T, answer http.HandlerFunc) (*Source, *updateRecorder) {
	t.Helper()
	server := httptest.NewServer(answer)
	s := &updateRecorder{results: make(chan core.EndpointUpdate, 10), alive: make(chan uint64, 100)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := New(strings.TrimPrefix(server.URL, "http://"), 40, s, log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { r.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); server.CloseClientConnections(); server.Close() })
	return r, s
}

func TestFetchAndWatch(t *testing.T) {
	more := make(chan string)
	from := make(chan string, 10)
	r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("watch") == "" {
			io.WriteString(w, testList)
			return
		}
		from <- req.URL.Query().Get("from")
		for {
			select {
			case text, ok := <-more:
				if !ok {
					return
				}
				io.WriteString(w, text+"\n")
				w.(http.Flusher).Flush()
			case <-req.Context().Done():
				return
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Fetch(ctx)
	s.expect(t, decide.ListSnapshot, 1)
	r.Watch(ctx, 1)
	if got := <-from; got != "41" {
		t.Errorf("watch from %s", got)
	}
	more <- `{"generation":42,"reset":false,"instances":[]}`
	s.expect(t, decide.ListDelta, 0)
	more <- ``
	more <- strings.Replace(strings.Replace(testList, "41", "43", 1), "true", "false", 1)
	s.expect(t, decide.ListDelta, 1)
	r.Fetch(ctx) // its answer is older than what the watch brought: it changes nothing
	s.expect(t, decide.ListDelta, 0)
	more <- `garbage` // the watch ends there, and the next one asks from the last version that was read
	s.expect(t, decide.ListFailed, 0)
	r.Watch(ctx, 1)
	if got := <-from; got != "43" {
		t.Errorf("watch after garbage from %s", got)
	}
	close(more)
	s.expect(t, decide.ListFailed, 0)
}

// At a move the list that stands and its watch go on until the new address answers with a whole list; versions of
// the old address mean nothing there, and that the old one ends is no failed call.
func TestSetAddress(t *testing.T) {
	old, cut := make(chan string), make(chan struct{})
	r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, strings.Replace(testList, "41", "400", 1)+"\n")
		for w.(http.Flusher).Flush(); ; w.(http.Flusher).Flush() {
			select {
			case text := <-old:
				io.WriteString(w, text+"\n")
			case <-cut:
				panic(http.ErrAbortHandler)
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Watch(ctx, 1)
	s.expect(t, decide.ListSnapshot, 1)
	asked, answer := make(chan string, 10), make(chan struct{})
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		asked <- req.URL.RawQuery
		<-answer
		io.WriteString(w, strings.Replace(testList, "41", "7", 1)+"\n")
		w.(http.Flusher).Flush()
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
		}
	}))
	t.Cleanup(func() { next.CloseClientConnections(); next.Close() })
	r.SetAddress(strings.TrimPrefix(next.URL, "http://"))
	r.Watch(ctx, 1)
	if got := <-asked; got != "" {
		t.Errorf("the first call at the new address asks for %q, want the whole list", got)
	}
	old <- strings.Replace(strings.Replace(testList, "41", "401", 1), "true", "false", 1)
	s.expect(t, decide.ListDelta, 1)
	close(cut)
	answer <- struct{}{}
	s.expect(t, decide.ListSnapshot, 1)
	if got := <-asked; got != "watch=1&from=7" {
		t.Errorf("then it asks for %q", got)
	}
	close(answer)
	s.expect(t, decide.ListSnapshot, 1)
}

// Errors, garbage and a call that hangs are failed calls and nothing worse.
func TestFailedCalls(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"503":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"garbage": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "<html>") },
		"too long": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Repeat(" ", maxEntryBytes+1)+testList)
		},
		"an entry too long": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Replace(testList, `"m2"`, `"`+strings.Repeat("m", maxEntryBytes)+`"`, 1))
		},
		"something else too long": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Replace(testList, `{"gen`, `{"note":"`+strings.Repeat("x", maxEntryBytes)+`","gen`, 1))
		},
		"too many entries": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, longList(maxEntries+1)) },
		"entries twice": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Replace(testList, `]}`, `],"instances":[]}`, 1))
		},
		"cut off": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, testList[:len(testList)/2]) },
		"cut short of its length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(2*len(testList)))
			io.WriteString(w, testList[:len(testList)-1])
		},
		"one bad line of many": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Replace(testList, testEntry, testEntry+","+strings.Replace(testEntry, "10.1.0.18:9000", "nowhere", 1), 1))
		},
		"reset": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"hangs": func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			r, s := startSource(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			r.Watch(ctx, 1)
			s.expect(t, decide.ListFailed, 0)
			r.Fetch(ctx)
			s.expect(t, decide.ListFailed, 0)
		})
	}
}

// A list may be broken into lines and pieces in any way; empty lines between two are signs of life, those within one and
// half a list are none. Each piece is sent when what the one before it brings has come.
func TestListsInFragments(t *testing.T) {
	indented := strings.NewReplacer(`{"`, "{\n  \"", `,"`, ",\r\n\r\n\t\"", `[{`, "[\n{", `}]`, "}\n]").Replace(testList)
	changes := strings.Replace(strings.Replace(testList, "41", "42", 1), "true", "false", 1)
	pieces := make(chan string)
	r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
		for text := range pieces {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Watch(ctx, 7)
	alive := func(times int) {
		t.Helper()
		for range times {
			select {
			case watch := <-s.alive:
				if watch != 7 {
					t.Fatalf("watch %d is alive, want 7", watch)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("no sign of life")
			}
		}
		if len(s.alive) > 0 {
			t.Fatal("one sign of life too many")
		}
	}
	pieces <- "\r\n"
	alive(1)
	for _, text := range strings.SplitAfter(indented, "\n") {
		pieces <- text
	}
	s.expect(t, decide.ListSnapshot, 1)
	alive(1)
	pieces <- "\r\n\r\n"
	alive(1)
	pieces <- changes + changes + "\n\n" + changes[:40]
	s.expect(t, decide.ListDelta, 1)
	s.expect(t, decide.ListDelta, 1)
	alive(3)
	pieces <- changes[40:] + "\n"
	s.expect(t, decide.ListDelta, 1)
	alive(1)
	pieces <- changes[:len(changes)-1] + "\n\n\n"
	close(pieces) // half a list, and the end
	s.expect(t, decide.ListFailed, 0)
	alive(0)
}

// Values that never end: they end the call, at a bound or where they break the form.
func TestEndlessLists(t *testing.T) {
	for name, more := range map[string]string{
		"blanks": strings.Repeat(" ", 4096), "a text": strings.Repeat("x", 4096), "empty lines": strings.Repeat("\n", 4096),
		"entries": "\n{" + testEntry[1:] + ",", "lists in a list": testList + "\n" + testList,
	} {
		t.Run(name, func(t *testing.T) {
			head := testList[:strings.Index(testList, "[")+1]
			if name == "a text" {
				head = `{"generation":41,"name":"`
			}
			r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
				io.WriteString(w, head)
				for {
					if _, err := io.WriteString(w, more); err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r.Watch(ctx, 1)
			s.expect(t, decide.ListFailed, 0)
			if len(s.alive) > 0 {
				t.Error("it counts as alive")
			}
		})
	}
}

// Discovery that was started anew counts its versions from the beginning: the whole list that it gives counts.
// A watch is opened beside one that goes on to bring changes, and then tells them again, from where it was opened: as changes
// or as a whole list of that age. Nothing goes back, and what is new after that counts.
func TestOvertakenWatch(t *testing.T) {
	for name, old := range map[string]string{
		"changes":      strings.Replace(testList, `"reset":true`, `"reset":false`, 1),
		"a whole list": testList,
	} {
		t.Run(name, func(t *testing.T) {
			first, second := make(chan string), make(chan string)
			came := make(chan string, 2)
			came <- "1"
			r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
				more := second
				select {
				case <-came:
					more = first
				default:
					came <- req.URL.Query().Get("from")
				}
				for {
					select {
					case text := <-more:
						io.WriteString(w, text+"\n")
						w.(http.Flusher).Flush()
					case <-req.Context().Done():
						return
					}
				}
			})
			at := func(version string) string { // as old, but of another version, and draining there
				return strings.NewReplacer("41", version, `"reset":true`, `"reset":false`, "active", "leaving").Replace(testList)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r.Watch(ctx, 1)
			first <- testList
			s.expect(t, decide.ListSnapshot, 1)
			r.Watch(ctx, 2)
			if from := <-came; from != "41" {
				t.Fatalf("the second watch asks from %s", from)
			}
			first <- at("43")
			s.expect(t, decide.ListDelta, 1)
			second <- old
			s.expect(t, decide.ListDelta, 0)
			second <- at("42")
			s.expect(t, decide.ListDelta, 0)
			second <- at("44")
			s.expect(t, decide.ListDelta, 1)
		})
	}
}

func TestLowerGenerationAfterRestart(t *testing.T) {
	r, s := startSource(t, func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, strings.Replace(testList, "41", "3", 1)+"\n")
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Watch(ctx, 1)
	s.expect(t, decide.ListSnapshot, 1)
	r.Fetch(ctx)
	s.expect(t, decide.ListSnapshot, 1)
}
