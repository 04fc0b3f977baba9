package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// streamAnswer sends the events of a run starting at the offset from.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, run *run, from int, fault faults.Fault) {
	e.blockIfSilent(r, fault)
	if fault.Mode == faults.LoseAnswer {
		e.waitForToken(r, run, run.answerTokens)
		faults.Abort()
	}
	writer := eventWriter{w: w, run: run, fault: fault}
	writer.writeHeader()
	for offset := from; offset < run.eventCount(); offset++ {
		if fault.Mode == faults.CloseMidStream && offset-from >= fault.AfterTokens {
			faults.Abort()
		}
		current, ok := e.waitForToken(r, run, min(offset, run.answerTokens))
		if !ok {
			return
		}
		if offset >= current.generated && current.outcome != runs.Finished {
			faults.Abort()
		}
		if err := writer.writeEvent(offset); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// eventWriter writes the events of a run to one connection.
type eventWriter struct {
	w           http.ResponseWriter
	run         *run
	fault       faults.Fault
	foreignSent bool // the event with the foreign id was sent
}

func (s *eventWriter) writeHeader() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
}

// writeEvent writes the event at the offset and the extra events of the fault.
func (s *eventWriter) writeEvent(offset int) error {
	if s.fault.ForeignID != "" && !s.foreignSent {
		s.foreignSent = true
		if err := s.writeChunk(s.fault.ForeignID, offset); err != nil {
			return err
		}
	}
	if err := s.writeChunk(s.run.id, offset); err != nil {
		return err
	}
	if s.fault.DuplicateEvents {
		return s.writeChunk(s.run.id, offset)
	}
	return nil
}

// writeChunk writes and flushes one server-sent event with the request id and offset.
func (s *eventWriter) writeChunk(id string, offset int) error {
	chunk := s.run.event(offset)
	chunk.ID = "chatcmpl-" + id
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "id: %s:%d\ndata: %s\n\n", id, offset, data); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}
