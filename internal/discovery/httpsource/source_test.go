package httpsource

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

// waitTimeout limits how long a test waits for an update.
const waitTimeout = 10 * time.Second

// updateRecorder records updates.
type updateRecorder struct {
	updates chan core.EndpointUpdate
	alive   chan uint64 // the watch of each heartbeat
}

func (r *updateRecorder) EndpointsUpdated(update core.EndpointUpdate) { r.updates <- update }
func (r *updateRecorder) WatchAlive(watch uint64)                     { r.alive <- watch }

// expect fails the test if the next update is of another kind or length, or does not arrive in time.
func (r *updateRecorder) expect(t *testing.T, kind decide.ListKind, length int) {
	t.Helper()
	select {
	case update := <-r.updates:
		if update.Kind != kind || len(update.Endpoints) != length {
			t.Fatalf("got update %+v, want kind %d with %d endpoints", update, kind, length)
		}
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for an update")
	}
}

// expectAlive fails the test unless exactly the given number of heartbeats of the watch has been reported.
func (r *updateRecorder) expectAlive(t *testing.T, want uint64, times int) {
	t.Helper()
	for range times {
		select {
		case watch := <-r.alive:
			if watch != want {
				t.Fatalf("got a heartbeat of watch %d, want one of watch %d", watch, want)
			}
		case <-time.After(waitTimeout):
			t.Fatal("timed out waiting for a heartbeat")
		}
	}
	if len(r.alive) > 0 {
		t.Fatal("more heartbeats were reported than expected")
	}
}

// startSource runs a source of the given discovery service until the test ends. The source starts at generation 40.
func startSource(t *testing.T, service http.HandlerFunc) (*Source, *updateRecorder) {
	t.Helper()
	server := httptest.NewServer(service)
	recorder := &updateRecorder{updates: make(chan core.EndpointUpdate, 10), alive: make(chan uint64, 100)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	source := New(strings.TrimPrefix(server.URL, "http://"), 40, recorder, log)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { source.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	return source, recorder
}

// write writes a part of an answer and flushes it.
func write(w http.ResponseWriter, text string) {
	io.WriteString(w, text)
	w.(http.Flusher).Flush()
}

// answerWith returns a service that answers every request with a text.
func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }
}

// withGeneration returns testList with the given generation.
func withGeneration(generation int) string {
	return strings.Replace(testList, "41", strconv.Itoa(generation), 1)
}

// deltaWithGeneration returns a delta of the given generation with the entry of testList.
func deltaWithGeneration(generation int) string {
	return strings.Replace(withGeneration(generation), `"reset":true`, `"reset":false`, 1)
}

// Snapshots of 20,000 endpoints are delivered in full, and so is a delta between two of them.
func TestLongLists(t *testing.T) {
	snapshot := longList(20_000)
	source, recorder := startSource(t, func(w http.ResponseWriter, request *http.Request) {
		write(w, snapshot+"\n\n"+deltaWithGeneration(42)+"\n"+snapshot+"\n")
		<-request.Context().Done()
	})
	source.Watch(t.Context(), 1)
	recorder.expect(t, decide.ListSnapshot, 20_000)
	recorder.expect(t, decide.ListDelta, 1)
	recorder.expect(t, decide.ListSnapshot, 20_000)
}

// A watch starts from the last generation that was read. A fetched list that is older than the watch's list changes
// nothing. An invalid listing ends the watch, so that the next watch delivers the changes after the last valid one.
func TestFetchAndWatch(t *testing.T) {
	texts := make(chan string)
	watchedFrom := make(chan string, 10)
	source, recorder := startSource(t, func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("watch") == "" {
			io.WriteString(w, testList)
			return
		}
		watchedFrom <- request.URL.Query().Get("from")
		for {
			select {
			case text, ok := <-texts:
				if !ok {
					return
				}
				write(w, text+"\n")
			case <-request.Context().Done():
				return
			}
		}
	})
	source.Fetch(t.Context())
	recorder.expect(t, decide.ListSnapshot, 1)
	source.Watch(t.Context(), 1)
	if got := <-watchedFrom; got != "41" {
		t.Errorf("the watch starts from generation %s, want 41", got)
	}
	texts <- `{"generation":42,"reset":false,"instances":[]}`
	recorder.expect(t, decide.ListDelta, 0)
	texts <- ``
	texts <- deltaWithGeneration(43)
	recorder.expect(t, decide.ListDelta, 1)
	source.Fetch(t.Context()) // gets generation 41, which is older than the watch's 43, and changes nothing
	recorder.expect(t, decide.ListDelta, 0)
	texts <- `garbage` // ends the watch; the next watch starts from the last generation that was read
	recorder.expect(t, decide.ListFailed, 0)
	source.Watch(t.Context(), 1)
	if got := <-watchedFrom; got != "43" {
		t.Errorf("the watch after the invalid listing starts from generation %s, want 43", got)
	}
	close(texts)
	recorder.expect(t, decide.ListFailed, 0)
}

// After a change of the address, the list and the watch at the old address stay in use until the new address answers
// with a snapshot. Generations of the old address have no meaning at the new one, so the first call there must ask
// for a snapshot. The end of the old watch must not be reported as a failed call.
func TestSetAddress(t *testing.T) {
	oldTexts, disconnectOld := make(chan string), make(chan struct{})
	source, recorder := startSource(t, func(w http.ResponseWriter, _ *http.Request) {
		write(w, withGeneration(400)+"\n")
		for {
			select {
			case text := <-oldTexts:
				write(w, text+"\n")
			case <-disconnectOld:
				panic(http.ErrAbortHandler)
			}
		}
	})
	source.Watch(t.Context(), 1)
	recorder.expect(t, decide.ListSnapshot, 1)
	queries, answer := make(chan string, 10), make(chan struct{})
	newServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		queries <- request.URL.RawQuery
		<-answer
		write(w, withGeneration(7)+"\n")
		if request.URL.RawQuery != "" {
			<-request.Context().Done()
		}
	}))
	t.Cleanup(func() {
		newServer.CloseClientConnections()
		newServer.Close()
	})
	source.SetAddress(strings.TrimPrefix(newServer.URL, "http://"))
	source.Watch(t.Context(), 1)
	if got := <-queries; got != "" {
		t.Errorf("the first call at the new address has the query %q, want none, for a snapshot", got)
	}
	oldTexts <- deltaWithGeneration(401)
	recorder.expect(t, decide.ListDelta, 1)
	close(disconnectOld)
	answer <- struct{}{}
	recorder.expect(t, decide.ListSnapshot, 1)
	if got := <-queries; got != "watch=1&from=7" {
		t.Errorf("the second call at the new address has the query %q, want watch=1&from=7", got)
	}
	close(answer)
	recorder.expect(t, decide.ListSnapshot, 1)
}

// Dial reports whether the service accepts a connection, and makes no call.
func TestDial(t *testing.T) {
	source, _ := startSource(t, func(http.ResponseWriter, *http.Request) { t.Error("the service is called") })
	dial := func() bool {
		t.Helper()
		result := make(chan bool, 1)
		source.Dial(t.Context(), func(reachable bool) { result <- reachable })
		select {
		case reachable := <-result:
			return reachable
		case <-time.After(waitTimeout):
			t.Fatal("timed out waiting for the dial")
			return false
		}
	}
	if !dial() {
		t.Error("a service that is up is reported as unreachable")
	}
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	source.SetAddress(strings.TrimPrefix(down.URL, "http://"))
	if dial() {
		t.Error("a service that is down is reported as reachable")
	}
}

// HTTP errors, invalid responses and calls that hang are reported as failed calls.
func TestFailedCalls(t *testing.T) {
	for _, test := range []struct {
		name    string
		service http.HandlerFunc
	}{
		{"503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }},
		{"garbage", answerWith("<html>")},
		{"white space too long", answerWith(strings.Repeat(" ", maxEntryBytes+1) + testList)},
		{"entry too long", answerWith(strings.Replace(testList, `"m2"`, `"`+strings.Repeat("m", maxEntryBytes)+`"`, 1))},
		{"unknown key too long",
			answerWith(strings.Replace(testList, `{"gen`, `{"note":"`+strings.Repeat("x", maxEntryBytes)+`","gen`, 1))},
		{"too many entries", answerWith(longList(maxEntries + 1))},
		{"entries twice", answerWith(strings.Replace(testList, `]}`, `],"instances":[]}`, 1))},
		{"truncated", answerWith(testList[:len(testList)/2])},
		{"shorter than its length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(2*len(testList)))
			io.WriteString(w, testList[:len(testList)-1])
		}},
		{"one invalid entry", answerWith(strings.Replace(testList, testEntry,
			testEntry+","+strings.Replace(testEntry, "10.1.0.18:9000", "nowhere", 1), 1))},
		{"reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"hangs", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			source, recorder := startSource(t, test.service)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			source.Watch(ctx, 1)
			recorder.expect(t, decide.ListFailed, 0)
			source.Fetch(ctx)
			recorder.expect(t, decide.ListFailed, 0)
		})
	}
}

// A list may be broken into lines and fragments anywhere. Empty lines between two lists are heartbeats; an empty line
// within a list is not, and neither is a fragment of a list. Where the test expects updates for a fragment, it waits
// for them before it sends the next fragment.
func TestListsInFragments(t *testing.T) {
	indented := strings.NewReplacer(
		`{"`, "{\n  \"",
		`,"`, ",\r\n\r\n\t\"",
		`[{`, "[\n{",
		`}]`, "}\n]",
	).Replace(testList)
	delta := deltaWithGeneration(42)
	fragments := make(chan string)
	source, recorder := startSource(t, func(w http.ResponseWriter, _ *http.Request) {
		for text := range fragments {
			write(w, text)
		}
	})
	source.Watch(t.Context(), 7)
	fragments <- "\r\n"
	recorder.expectAlive(t, 7, 1)
	for _, text := range strings.SplitAfter(indented, "\n") {
		fragments <- text
	}
	recorder.expect(t, decide.ListSnapshot, 1)
	recorder.expectAlive(t, 7, 1)
	fragments <- "\r\n\r\n"
	recorder.expectAlive(t, 7, 1)
	fragments <- delta + delta + "\n\n" + delta[:40]
	recorder.expect(t, decide.ListDelta, 1)
	recorder.expect(t, decide.ListDelta, 1)
	recorder.expectAlive(t, 7, 3)
	fragments <- delta[40:] + "\n"
	recorder.expect(t, decide.ListDelta, 1)
	recorder.expectAlive(t, 7, 1)
	fragments <- delta[:len(delta)-1] + "\n\n\n"
	close(fragments) // the stream ends within a list
	recorder.expect(t, decide.ListFailed, 0)
	recorder.expectAlive(t, 7, 0)
}

// An endless value fails the call, either when it exceeds a limit or as soon as it becomes invalid.
func TestEndlessLists(t *testing.T) {
	entriesStart := testList[:strings.Index(testList, "[")+1]
	for _, test := range []struct{ name, start, repeated string }{
		{"spaces", entriesStart, strings.Repeat(" ", 4096)},
		{"a string", `{"generation":41,"name":"`, strings.Repeat("x", 4096)},
		{"empty lines", entriesStart, strings.Repeat("\n", 4096)},
		{"entries", entriesStart, "\n{" + testEntry[1:] + ","},
		{"lists in a list", entriesStart, testList + "\n" + testList},
	} {
		t.Run(test.name, func(t *testing.T) {
			source, recorder := startSource(t, func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, test.start)
				for {
					if _, err := io.WriteString(w, test.repeated); err != nil {
						return
					}
				}
			})
			source.Watch(t.Context(), 1)
			recorder.expect(t, decide.ListFailed, 0)
			if len(recorder.alive) > 0 {
				t.Error("a heartbeat was reported for an endless list")
			}
		})
	}
}

// A second watch is opened while the first one continues. The second watch then delivers, as a delta or as a
// snapshot, an older generation than the first watch has delivered. It must not replace the newer list, for example
// make a draining endpoint ready again. Changes that are newer than the list are applied.
func TestOvertakenWatch(t *testing.T) {
	for name, overtaken := range map[string]string{"delta": deltaWithGeneration(41), "snapshot": testList} {
		t.Run(name, func(t *testing.T) {
			firstTexts, secondTexts := make(chan string), make(chan string)
			first := make(chan struct{}, 1) // holds a value until the first watch is requested
			first <- struct{}{}
			watchedFrom := make(chan string, 1) // the generation from which the second watch is requested
			source, recorder := startSource(t, func(w http.ResponseWriter, request *http.Request) {
				texts := secondTexts
				select {
				case <-first:
					texts = firstTexts
				default:
					watchedFrom <- request.URL.Query().Get("from")
				}
				for {
					select {
					case text := <-texts:
						write(w, text+"\n")
					case <-request.Context().Done():
						return
					}
				}
			})
			draining := func(generation int) string {
				return strings.Replace(deltaWithGeneration(generation), "active", "leaving", 1)
			}
			source.Watch(t.Context(), 1)
			firstTexts <- testList
			recorder.expect(t, decide.ListSnapshot, 1)
			source.Watch(t.Context(), 2)
			if from := <-watchedFrom; from != "41" {
				t.Fatalf("the second watch starts from generation %s, want 41", from)
			}
			firstTexts <- draining(43)
			recorder.expect(t, decide.ListDelta, 1)
			secondTexts <- overtaken
			recorder.expect(t, decide.ListDelta, 0)
			secondTexts <- draining(42)
			recorder.expect(t, decide.ListDelta, 0)
			secondTexts <- draining(44)
			recorder.expect(t, decide.ListDelta, 1)
		})
	}
}

// A discovery service that has restarted counts generations from the beginning. Its snapshot must be applied although
// its generation is lower than that of the current list.
func TestLowerGenerationAfterRestart(t *testing.T) {
	source, recorder := startSource(t, func(w http.ResponseWriter, request *http.Request) {
		write(w, withGeneration(3)+"\n")
		<-request.Context().Done()
	})
	source.Watch(t.Context(), 1)
	recorder.expect(t, decide.ListSnapshot, 1)
	source.Fetch(t.Context())
	recorder.expect(t, decide.ListSnapshot, 1)
}
