package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// stream sends the events of a run from an offset on.
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

// sender writes the events of one connection.
type eventWriter struct {
	w           http.ResponseWriter
	run         *run
	fault       faults.Fault
	foreignSent bool // the event under a foreign id is sent
}

func (s *eventWriter) writeHeader() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(s.w).Flush()
}

// send writes the event at the offset with the copies that the fault asks for.
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
