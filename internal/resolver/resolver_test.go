package resolver

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cottonplank/decide"
	"cottonplank/internal/core"

	"github.com/sirupsen/logrus"
)

const entry = `{"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:9000","zone":"a","machineType":"m2","cell":3,` +
	`"lifecycle":"active","weight":1.0,"startedAtMs":1700000000000}`

const list = `{"generation":41,"reset":true,"instances":[` + entry + `]}`

func TestDecode(t *testing.T) {
	l, err := Decode([]byte(list))
	if err != nil || l.Generation != 41 || !l.Reset || len(l.Instances) != 1 {
		t.Fatalf("%+v, %v", l, err)
	}
	in := l.Instances[0]
	if in.Name != "s-5be2a07c" || in.ID != core.ServerID(in.Name) || in.Zone != "a" || in.Cell != 3 ||
		in.State != decide.Ready || !in.Started.Equal(time.UnixMilli(1700000000000)) {
		t.Errorf("%+v", in)
	}
	for _, bad := range []struct{ old, new string }{
		{`"active"`, `"asleep"`}, {`"s-5be2a07c"`, `""`}, {`10.1.0.18:9000`, `nowhere`}, {`1.0`, `-1`},
		{`"generation":41,`, ``}, {`}]}`, `}]`}, {`"cell":3`, `"cell":"x"`},
	} {
		if l, err := Decode([]byte(strings.Replace(list, bad.old, bad.new, 1))); err == nil {
			t.Errorf("%s for %s: taken as %+v", bad.new, bad.old, l)
		}
	}
}

// sink keeps what comes.
type sink struct {
	results chan core.Result
	alive   chan uint64 // nil: nobody looks
}

func (s *sink) Resolved(r core.Result) { s.results <- r }
func (s *sink) ListAlive(watch uint64) { s.alive <- watch }

func (s *sink) want(t *testing.T, kind decide.ListKind, lines int) {
	t.Helper()
	select {
	case r := <-s.results:
		if r.Kind != kind || len(r.Instances) != lines {
			t.Fatalf("result %+v, want kind %d with %d lines", r, kind, lines)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no result")
	}
}

// discovery is a stand-in whose answers a test gives.
func discovery(t *testing.T, answer http.HandlerFunc) (*Resolver, *sink) {
	t.Helper()
	server := httptest.NewServer(answer)
	s := &sink{results: make(chan core.Result, 10), alive: make(chan uint64, 100)}
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
	r, s := discovery(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Get("watch") == "" {
			io.WriteString(w, list)
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
	r.FetchList(ctx)
	s.want(t, decide.ListFull, 1)
	r.Subscribe(ctx, 1)
	if got := <-from; got != "41" {
		t.Errorf("watch from %s", got)
	}
	more <- `{"generation":42,"reset":false,"instances":[]}`
	s.want(t, decide.ListChanges, 0)
	more <- ``
	more <- strings.Replace(strings.Replace(list, "41", "43", 1), "true", "false", 1)
	s.want(t, decide.ListChanges, 1)
	r.FetchList(ctx) // its answer is older than what the watch brought: it changes nothing
	s.want(t, decide.ListChanges, 0)
	more <- `garbage` // the watch ends there, and the next one asks from the last version that was read
	s.want(t, decide.ListFailed, 0)
	r.Subscribe(ctx, 1)
	if got := <-from; got != "43" {
		t.Errorf("watch after garbage from %s", got)
	}
	close(more)
	s.want(t, decide.ListFailed, 0)
}

// At a move the list that stands and its watch go on until the new address answers with a whole list; versions of
// the old address mean nothing there, and that the old one ends is no failed call.
func TestMove(t *testing.T) {
	old, cut := make(chan string), make(chan struct{})
	r, s := discovery(t, func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, strings.Replace(list, "41", "400", 1)+"\n")
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
	r.Subscribe(ctx, 1)
	s.want(t, decide.ListFull, 1)
	asked, answer := make(chan string, 10), make(chan struct{})
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		asked <- req.URL.RawQuery
		<-answer
		io.WriteString(w, strings.Replace(list, "41", "7", 1)+"\n")
		w.(http.Flusher).Flush()
		if req.URL.RawQuery != "" {
			<-req.Context().Done()
		}
	}))
	t.Cleanup(func() { next.CloseClientConnections(); next.Close() })
	r.Move(strings.TrimPrefix(next.URL, "http://"))
	r.Subscribe(ctx, 1)
	if got := <-asked; got != "" {
		t.Errorf("the first call at the new address asks for %q, want the whole list", got)
	}
	old <- strings.Replace(strings.Replace(list, "41", "401", 1), "true", "false", 1)
	s.want(t, decide.ListChanges, 1)
	close(cut)
	answer <- struct{}{}
	s.want(t, decide.ListFull, 1)
	if got := <-asked; got != "watch=1&from=7" {
		t.Errorf("then it asks for %q", got)
	}
	close(answer)
	s.want(t, decide.ListFull, 1)
}

// Errors, garbage and a call that hangs are failed calls and nothing worse.
func TestFailedCalls(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"503":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) },
		"garbage": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "<html>") },
		"too long": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Repeat(" ", maxList+1)+list)
		},
		"cut off": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, list[:len(list)/2]) },
		"cut short of its length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(2*len(list)))
			io.WriteString(w, list[:len(list)-1])
		},
		"one bad line of many": func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Replace(list, entry, entry+","+strings.Replace(entry, "10.1.0.18:9000", "nowhere", 1), 1))
		},
		"reset": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"hangs": func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			r, s := discovery(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			r.Subscribe(ctx, 1)
			s.want(t, decide.ListFailed, 0)
			r.FetchList(ctx)
			s.want(t, decide.ListFailed, 0)
		})
	}
}

// A list may be broken into lines and pieces in any way; empty lines between two are signs of life, those within one and
// half a list are none. Each piece is sent when what the one before it brings has come.
func TestListsInPieces(t *testing.T) {
	indented := strings.NewReplacer(`{"`, "{\n  \"", `,"`, ",\r\n\r\n\t\"", `[{`, "[\n{", `}]`, "}\n]").Replace(list)
	changes := strings.Replace(strings.Replace(list, "41", "42", 1), "true", "false", 1)
	pieces := make(chan string)
	r, s := discovery(t, func(w http.ResponseWriter, req *http.Request) {
		for text := range pieces {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Subscribe(ctx, 7)
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
	s.want(t, decide.ListFull, 1)
	alive(1)
	pieces <- "\r\n\r\n"
	alive(1)
	pieces <- changes + changes + "\n\n" + changes[:40]
	s.want(t, decide.ListChanges, 1)
	s.want(t, decide.ListChanges, 1)
	alive(3)
	pieces <- changes[40:] + "\n"
	s.want(t, decide.ListChanges, 1)
	alive(1)
	pieces <- changes[:len(changes)-1] + "\n\n\n"
	close(pieces) // half a list, and the end
	s.want(t, decide.ListFailed, 0)
	alive(0)
}

// Values that never end: they end the call, at a bound or where they break the form.
func TestEndlessLists(t *testing.T) {
	for name, more := range map[string]string{
		"blanks": strings.Repeat(" ", 4096), "a text": strings.Repeat("x", 4096), "empty lines": strings.Repeat("\n", 4096),
		"entries": "\n{" + entry[1:] + ",", "lists in a list": list + "\n" + list,
	} {
		t.Run(name, func(t *testing.T) {
			head := list[:strings.Index(list, "[")+1]
			if name == "a text" {
				head = `{"generation":41,"name":"`
			}
			r, s := discovery(t, func(w http.ResponseWriter, req *http.Request) {
				io.WriteString(w, head)
				for {
					if _, err := io.WriteString(w, more); err != nil {
						return
					}
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r.Subscribe(ctx, 1)
			s.want(t, decide.ListFailed, 0)
			if len(s.alive) > 0 {
				t.Error("it counts as alive")
			}
		})
	}
}

// Discovery that was started anew counts its versions from the beginning: the whole list that it gives counts.
func TestALowerVersion(t *testing.T) {
	r, s := discovery(t, func(w http.ResponseWriter, req *http.Request) {
		io.WriteString(w, strings.Replace(list, "41", "3", 1)+"\n")
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Subscribe(ctx, 1)
	s.want(t, decide.ListFull, 1)
	r.FetchList(ctx)
	s.want(t, decide.ListFull, 1)
}
